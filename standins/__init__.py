"""Stand-ins for the platform: store, directory and database servers."""
