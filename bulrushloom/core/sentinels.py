"""Sentinel values that say why a value is missing."""


class Missing:
    """Stand in for a value that is not there, with the reason; it is false."""

    def __init__(self, reason: str):
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"<Missing: {self.reason}>"
