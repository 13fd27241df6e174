"""Exceptions raised by the store client."""


class StoreUnavailable(ConnectionError):
    """A store call got no valid response; it may have taken effect."""


class StoreRefused(StoreUnavailable):
    """The store refused a call, which therefore had no effect."""
