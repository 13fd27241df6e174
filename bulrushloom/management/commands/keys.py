"""The ``keys`` commands."""

from bulrushloom.management.base import prepared_command
from bulrushloom.rules.keys import new_key


class KeysCommands:
    """Create keys for callers."""

    @prepared_command
    def new(self) -> None:
        """Print a new random key for a caller, and its digest for the rules file."""
        key = new_key()
        print(f"key for the caller:    {key.key}")
        print(f"digest for the rules:  {key.digest}")
