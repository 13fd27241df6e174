"""Placeholder for a missing value."""


class Missing:
    """Falsy placeholder for a missing value, with the reason why it is missing."""

    def __init__(self, reason: str):
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"<Missing: {self.reason}>"
