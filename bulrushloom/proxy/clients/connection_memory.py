"""Memory of one connection to a target: rows of the answer and session state."""

from collections.abc import Callable, Mapping

from bulrushloom.proxy.clients.memory_budget import MemoryAccount
from bulrushloom.proxy.messages import PreparedStatement


class ConnectionMemory:
    """Counts what a connection to a target holds beside the buffers of its stream.

    Without an account, nothing is counted.
    """

    def __init__(self) -> None:
        self._account: MemoryAccount | None = None
        self._row_bytes = 0
        self._state_bytes = 0

    def start(
        self,
        account: MemoryAccount,
        is_idle: Callable[[], bool],
        close: Callable[[str], None],
    ) -> None:
        """Count in ``account``; only an idle connection is closed to free memory."""
        self._account = account
        account.is_closable = is_idle
        account.close_connection = close

    def add_row(self, size: int) -> bool:
        """Count a row of ``size`` bytes; return whether the answer may go on."""
        self._row_bytes += size
        self._update()
        account = self._account
        return account is None or self._row_bytes <= account.answer_bytes

    def end_answer(self) -> None:
        """Count no rows, because the answer is passed on."""
        if self._row_bytes:
            self._row_bytes = 0
            self._update()

    def set_state(
        self,
        values: Mapping[bytes, bytes],
        prepared_by_name: Mapping[bytes, PreparedStatement],
    ) -> None:
        """Count the session state that the target holds, which is mirrored here."""
        self._state_bytes = sum(len(name) + len(v) for name, v in values.items())
        self._state_bytes += sum(len(p.shape) for p in prepared_by_name.values())
        self._update()

    def _update(self) -> None:
        if self._account is not None:
            self._account.set_held(self._row_bytes + self._state_bytes)

    def close(self) -> None:
        """Remove the connection from the budget."""
        if self._account is not None:
            self._account.close()
