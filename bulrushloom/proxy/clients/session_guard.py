"""Limits of one client session: its memory, and the time of its messages."""

from datetime import timedelta

from bulrushloom.proxy.clients.memory_budget import (
    LIGHT_BYTES,
    SESSION_BYTES,
    AccountKind,
    MemoryAccount,
    MemoryBudget,
)
from bulrushloom.proxy.clients.session_bounds import MessageProgress
from bulrushloom.proxy.clients.session_state import SessionState
from bulrushloom.proxy.messages import AnswerCode, Failure
from bulrushloom.runtime.streams import Stream

# Copies of a statement while it runs: its text, the arguments of SET and PREPARE, and
# the encoded message to the target.
STATEMENT_COPIES = 3
# The next statement is read once fewer bytes than this are unsent.
MAX_UNSENT_BEFORE_NEXT = 64 * 1024
# Paused connections that block each other are closed after one second.
MEMORY_RETRY_AFTER = timedelta(seconds=1)
NO_MEMORY = Failure(
    AnswerCode.NOT_RUN,
    "the instance has no memory for this client",
    MEMORY_RETRY_AFTER,
)


class SessionGuard:
    """Counts the memory of one session and follows the progress of its messages.

    ``state`` has the session values and prepared statements.
    """

    def __init__(self, budget: MemoryBudget, stream: Stream):
        self._budget = budget
        self.state = SessionState()
        self.progress = MessageProgress()
        self.account: MemoryAccount = budget.open_account(AccountKind.CLIENT)
        self.account.set_held(SESSION_BYTES)
        stream.max_unsent_while_reading = MAX_UNSENT_BEFORE_NEXT
        stream.limit_memory(self.account)

    def admits(self, line: bytes) -> bool:
        """Count a statement that is about to run; return whether there is memory."""
        if len(line) < LIGHT_BYTES:
            return True
        self._hold(STATEMENT_COPIES * len(line))
        if self._budget.has_room():
            return True
        self.finish_statement()
        return False

    def finish_statement(self) -> None:
        """Count the session without a statement."""
        self._hold(0)

    def _hold(self, statement_bytes: int) -> None:
        self.account.set_held(SESSION_BYTES + self.state.size + statement_bytes)

    def close(self) -> None:
        """Remove the session from the budget and drop its state.

        The objects of a session refer to each other, so they are freed only by a later
        garbage collection.
        """
        self.account.close()
        self.state.clear()
