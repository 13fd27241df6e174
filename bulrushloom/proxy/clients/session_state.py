"""Session values and prepared statements of one client session, with bounds.

It answers clients that set or prepare ever more names, which the process would keep
for as long as the session lasts.
"""

from bulrushloom.proxy.messages import AnswerCode, Failure, PreparedStatement, Statement

# Ordinary sessions have a few names. Each name costs a statement when a connection of
# a target gets the state of the session.
MAX_NAMES = 1_000
# One session value or shape of the largest message, and as much again.
MAX_STATE_BYTES = 2 * 1024 * 1024
# Memory of the objects of one name, beside its text.
NAME_BYTES = 300


class SessionState:
    """Values and prepared statements by name; ``size`` is their memory in bytes."""

    def __init__(self) -> None:
        self.values: dict[bytes, bytes] = {}
        self.prepared_by_name: dict[bytes, PreparedStatement] = {}
        self.size = 0

    def set_value(self, name: bytes, value: bytes) -> Failure | None:
        """Set a value; return why it is refused, if it exceeds a bound."""
        previous = self.values.get(name)
        change = _size(name, value) - _size(name, previous)
        failure = self._refusal(previous is None, change)
        if failure is None:
            self.values[name] = value
            self.size += change
        return failure

    def prepare(self, name: bytes, prepared: PreparedStatement) -> Failure | None:
        """Add a prepared statement; return why it is refused, if it is."""
        known = self.prepared_by_name.get(name)
        previous = known.shape if known is not None else None
        change = _size(name, prepared.shape) - _size(name, previous)
        failure = self._refusal(known is None, change)
        if failure is None:
            self.prepared_by_name[name] = prepared
            self.size += change
        return failure

    def deallocate(self, name: bytes) -> bool:
        """Remove a prepared statement; return whether it existed."""
        prepared = self.prepared_by_name.pop(name, None)
        if prepared is None:
            return False
        self.size -= _size(name, prepared.shape)
        return True

    def clear(self) -> None:
        """Drop all values and prepared statements."""
        self.values.clear()
        self.prepared_by_name.clear()
        self.size = 0

    def writes(self, statement: Statement) -> bool:
        """Return whether ``statement`` executes a prepared statement that writes."""
        prepared = self.prepared_by_name.get(statement.name)
        return prepared is not None and prepared.is_write

    def _refusal(self, is_new: bool, change: int) -> Failure | None:
        names = len(self.values) + len(self.prepared_by_name)
        if is_new and names >= MAX_NAMES:
            reason = f"the session has {names} values and prepared statements already"
            return Failure(AnswerCode.BAD_REQUEST, reason)
        if change > 0 and self.size + change > MAX_STATE_BYTES:
            reason = f"values and prepared statements exceed {MAX_STATE_BYTES} bytes"
            return Failure(AnswerCode.BAD_REQUEST, reason)
        return None


def _size(name: bytes, text: bytes | None) -> int:
    return 0 if text is None else NAME_BYTES + len(name) + len(text)
