"""Exceptions raised by the directory client."""


class DirectoryUnavailable(ConnectionError):
    """A directory call failed or got no valid response."""


class DirectoryRefused(DirectoryUnavailable):
    """The directory refused a call, which therefore had no effect."""
