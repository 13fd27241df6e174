"""Stand-in for the platform's list of instances."""
