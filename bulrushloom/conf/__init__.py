"""Settings of one instance, read from YAML."""
