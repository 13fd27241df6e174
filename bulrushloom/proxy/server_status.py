"""Status calls to the servers of a group."""

from collections.abc import Iterable
from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.connections import (
    ConnectionLost,
    ConnectionRejected,
    ServerConnection,
    open_connection,
)
from bulrushloom.proxy.messages import AnswerCode, Failure, ServerStatus
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# A status takes a slot for a moment; a server that is busy answers within this time.
STATUS_LIMIT = timedelta(milliseconds=500)
REFUSED = "connection refused"
# Answers of a server that lives and has no slot or connection to spare.
OVERLOADED_CODES = frozenset({AnswerCode.NOT_RUN, AnswerCode.TOO_MANY_CONNECTIONS})
OVERLOADED = Missing("the server lives and is too busy to tell its status")


class StatusReader:
    """Ask servers for their status, each on a connection of its own.

    ``caller`` is the name under which the connections are opened.
    """

    def __init__(self, services: Services, caller: str):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._name = caller

    def read_all(self, targets: Iterable[Target], command: bytes | None) -> Steps:
        """Return the status by id of the servers that answered."""
        asked: dict[str, Future[ServerStatus | Missing]] = {}
        for target in targets:
            steps = self.read(target, command)
            asked[target.target_id] = self._loop.spawn(steps)
        found = {}
        for target_id, future in asked.items():
            status = yield future
            if isinstance(status, Missing):
                self._log.write(
                    "status_missing", target=target_id, reason=status.reason
                )
            else:
                found[target_id] = status
        return found

    def read(self, target: Target, command: bytes | None = None) -> Steps:
        """Return the status of a server, or why there is none.

        ``command`` is sent first; the status confirms it.
        """
        connection: ServerConnection | None = None
        try:
            steps = open_connection(
                self._loop, self._services.network, target, self._name
            )
            connection = yield from steps
            text = command if command is not None else wire.STATUS
            answering = connection.query(wire.PROXY_REQUEST_ID, text)
            answer = yield self._loop.wait_for(answering, STATUS_LIMIT)
            if answer.failure is not None:
                return _refusal(answer.failure)
            if not answer.rows:
                return Missing("an answer without a status")
            return wire.decode_status(answer.rows[0])
        except ConnectionLost as error:
            return Missing(REFUSED if error.refused else str(error))
        except ConnectionRejected as error:
            return _refusal(error.failure)
        except (TimeoutError, wire.ProtocolError) as error:
            return Missing(str(error) or type(error).__name__)
        finally:
            if connection is not None:
                connection.close("the status is known")


def _refusal(failure: Failure) -> Missing:
    if failure.code in OVERLOADED_CODES:
        return OVERLOADED
    return Missing(f"status: {failure.code.value}: {failure.reason}")
