"""Exceptions of the directory client."""


class DirectoryUnavailable(ConnectionError):
    """Report a directory call without an answer."""


class DirectoryRefused(DirectoryUnavailable):
    """Report a call that the directory answered but did not carry out."""
