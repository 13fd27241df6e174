"""Live instances and the owners of targets."""
