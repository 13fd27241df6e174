"""Client of the platform's configuration store."""
