"""Exceptions of the store client."""


class StoreUnavailable(ConnectionError):
    """Report a store call without an answer."""


class StoreRefused(StoreUnavailable):
    """Report a call that the store answered but did not carry out."""
