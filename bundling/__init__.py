"""Build of the single-file executable ``dist/bulrushloom``."""
