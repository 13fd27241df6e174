"""Exceptions of the directory client."""


class DirectoryUnavailable(ConnectionError):
    """Report a directory call without an answer."""
