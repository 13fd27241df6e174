"""Exceptions raised by the core package."""


class ChartError(ValueError):
    """Report a state chart file that is malformed."""


class InvalidTransition(RuntimeError):
    """Report an event that the current state does not accept."""


class BadSignature(ValueError):
    """Report a signed value that was forged, truncated or has expired."""


class NotSent(ConnectionError):
    """Report a request that never left, because no connection was made."""


class NoAnswer(ConnectionError):
    """Report a request that may have arrived and got no usable answer."""
