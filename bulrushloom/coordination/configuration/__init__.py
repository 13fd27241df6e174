"""Distribution of the rules and tracking of their freshness."""
