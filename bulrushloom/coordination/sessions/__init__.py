"""Session tokens and log positions."""
