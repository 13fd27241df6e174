"""Status requests to the database servers of a group."""

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

# A status request occupies a slot only briefly; a busy server answers within this time.
STATUS_TIMEOUT = timedelta(milliseconds=500)
CONNECTION_REFUSED = "connection refused"
# Answers of a running server that has no free slot or connection.
OVERLOADED_CODES = frozenset({AnswerCode.NOT_RUN, AnswerCode.TOO_MANY_CONNECTIONS})
OVERLOADED = Missing("the server is running but too busy to report its status")


class StatusReader:
    """Reader of the status of servers, which uses a new connection for each request.

    ``caller`` is sent as the account of these connections.
    """

    def __init__(self, services: Services, caller: str):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._caller = caller

    def read_all(self, targets: Iterable[Target], command: bytes | None) -> Steps:
        """Return the status of each server that answered, by target id.

        ``command`` is passed on to ``read``.
        """
        future_by_id: dict[str, Future[ServerStatus | Missing]] = {}
        for target in targets:
            steps = self.read(target, command)
            future_by_id[target.target_id] = self._loop.spawn(steps)
        status_by_id = {}
        for target_id, future in future_by_id.items():
            status = yield future
            if isinstance(status, Missing):
                self._log.write(
                    "status_missing", target=target_id, reason=status.reason
                )
            else:
                status_by_id[target_id] = status
        return status_by_id

    def read(self, target: Target, command: bytes | None = None) -> Steps:
        """Return the status of a server, or the reason why there is none.

        ``command`` is sent instead of the plain status request; a server answers it
        with its status, which confirms the command.
        """
        connection: ServerConnection | None = None
        try:
            steps = open_connection(
                self._loop, self._services.network, target, self._caller
            )
            connection = yield from steps
            request = command if command is not None else wire.STATUS
            answering = connection.query(wire.PROXY_REQUEST_ID, request)
            answer = yield self._loop.wait_for(answering, STATUS_TIMEOUT)
            if answer.failure is not None:
                return _failure_reason(answer.failure)
            if not answer.rows:
                return Missing("the answer contains no status")
            return wire.decode_status(answer.rows[0])
        except ConnectionLost as error:
            return Missing(CONNECTION_REFUSED if error.refused else str(error))
        except ConnectionRejected as error:
            return _failure_reason(error.failure)
        except (TimeoutError, wire.ProtocolError) as error:
            return Missing(str(error) or type(error).__name__)
        finally:
            if connection is not None:
                connection.close("status request finished")


def _failure_reason(failure: Failure) -> Missing:
    if failure.code in OVERLOADED_CODES:
        return OVERLOADED
    return Missing(f"status: {failure.code.value}: {failure.reason}")
