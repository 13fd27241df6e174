"""Fleet-wide rate and burst of client accounts."""
