"""What the statements of one session have in common: transaction and log positions."""

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.messages import NO_POSITION, LogPosition, TransactionState
from bulrushloom.proxy.transaction import Transaction


class SessionContext:
    """Open transaction of a session, and the positions of its own commits.

    Reads must include these commits. ``position`` is the latest one that was
    acknowledged, at whichever service.
    """

    def __init__(self) -> None:
        self.database = ""
        self.transaction: Transaction | None = None
        # Latest commit of the session at each service that its route has led to.
        self._position_by_service: dict[str, LogPosition] = {}
        self.position: LogPosition | Missing = NO_POSITION

    @property
    def transaction_state(self) -> TransactionState:
        """Return the state of the transaction as the client is told it."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.failure is not None:
            return TransactionState.FAILED
        return TransactionState.OPEN

    def position_at(self, service: str) -> LogPosition | Missing:
        """Return the position that reads of a service must include."""
        return self._position_by_service.get(service, NO_POSITION)

    def advance_position(self, service: str, position: LogPosition | Missing) -> None:
        """Record the position of a commit of this session."""
        known = self.position_at(service)
        if isinstance(position, Missing):
            return
        if isinstance(known, Missing) or position > known:
            self.position = self._position_by_service[service] = position
