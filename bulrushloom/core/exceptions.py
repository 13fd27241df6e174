"""Exceptions raised by the core package."""


class ChartError(ValueError):
    """A state chart file is invalid."""


class InvalidTransition(RuntimeError):
    """The current state has no transition for the event."""


class BadSignature(ValueError):
    """A signed value was forged or truncated, or has expired."""


class NotSent(ConnectionError):
    """A request was not sent, because no connection was established."""


class NoAnswer(ConnectionError):
    """A request may have arrived, but no valid response was received."""
