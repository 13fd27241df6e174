"""Exceptions of the store client."""


class StoreUnavailable(ConnectionError):
    """Report a store call without an answer."""
