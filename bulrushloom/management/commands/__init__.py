"""Commands of the command-line interface, one module each."""
