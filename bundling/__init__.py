"""Build of the one file that is delivered."""
