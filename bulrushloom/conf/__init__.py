"""Settings of an instance, loaded from a YAML file."""
