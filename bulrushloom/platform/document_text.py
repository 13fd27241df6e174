"""Texts from a configuration document in the output of the check."""

from typing import Any


def printable(value: Any) -> str:
    """Return a name as one line of output.

    Names that are empty, are not text or have control characters are shown as Python
    shows them, so that they can neither break a line nor control a terminal.
    """
    is_plain = isinstance(value, str) and value and value.isprintable()
    return value if is_plain else repr(value)
