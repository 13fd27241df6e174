"""Stand-in for the platform's directory of instances."""
