"""Stand-in for the platform's configuration store."""
