"""Client of the platform's instance directory."""
