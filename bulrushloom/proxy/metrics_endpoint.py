"""HTTP endpoint with metrics, and with documents that other instances copy.

Instances copy the configuration and the directory from each other, so that not all of
them read the store.
"""

from collections.abc import Mapping

from bulrushloom.platform.store import KeyValueStore
from bulrushloom.proxy.clients.watch import ClientWatch
from bulrushloom.proxy.exchange.directory import encode_directory
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.peer_copies import DIRECTORY_PATH, DOCUMENT_PATH
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.sharing.domain import DomainConnections

METRICS_PATH = "/metrics"

HttpAnswer = tuple[int, Mapping[str, str], bytes]


class MetricsEndpoint:
    """Answers with the metrics, the configuration and the directory.

    ``sessions`` is the set of open sessions, which the caller changes.
    """

    def __init__(
        self,
        services: Services,
        store: KeyValueStore,
        fleet: Fleet,
        sharing: DomainConnections,
        client_watch: ClientWatch,
        sessions: set[Session],
    ):
        self._services = services
        self._loop = services.loop
        self._store = store
        self._fleet = fleet
        self._sharing = sharing
        self._client_watch = client_watch
        self._sessions = sessions

    def answer(self, method: str, path: str, _body: bytes) -> HttpAnswer:
        """Answer a request of an operator or of another instance."""
        if method == "GET" and path.startswith(DOCUMENT_PATH):
            return self._answer_document(path.removeprefix(DOCUMENT_PATH))
        if method == "GET" and path.startswith(DIRECTORY_PATH):
            return self._answer_directory(path.removeprefix(DIRECTORY_PATH))
        if method != "GET" or path != METRICS_PATH:
            return 404, {}, b""
        self._set_gauges()
        return 200, {"Content-Type": "text/plain"}, self._services.metrics.text()

    def _answer_document(self, version: str) -> HttpAnswer:
        document = self._store.document()
        if document is None or str(document.version) != version:
            return 404, {}, b""
        return 200, {"Content-Type": "application/json"}, document.value

    def _answer_directory(self, version: str) -> HttpAnswer:
        directory = self._fleet.directory
        if directory is None or directory.version != version:
            return 404, {}, b""
        content = encode_directory(directory)
        return 200, {"Content-Type": "application/json"}, content

    def _set_gauges(self) -> None:
        gauges = self._services.metrics.gauges
        gauges["sessions"] = len(self._sessions)
        self._client_watch.set_gauges()
        pool, owned = self._services.pool, self._sharing.owner.pool
        gauges["server_connections"] = pool.size() + owned.size()
        gauges["server_connections_opened"] = pool.opened + owned.opened
        gauges.update(self._sharing.gauges())
        gauges["store_calls"] = self._store.calls
        gauges["store_era"] = self._services.eras.era
        gauges["members"] = self._services.member_count
        gauges["gossip_bytes"] = self._fleet.sent_bytes
        gauges["gossip_datagrams"] = self._fleet.sent_count
        gauges["unexpected_errors"] = self._loop.error_count
