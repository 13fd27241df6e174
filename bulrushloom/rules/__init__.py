"""The operators' rules file."""
