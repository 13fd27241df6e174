"""Measure the cost of the peer transport to one instance.

The measured instance runs in one process and its peers in another. At each rate, the
instance sends that number of statements per second to its peers, as the instance that
receives a client's request, and receives as many from them, as the owner of the target.
Every statement is answered.
"""

import multiprocessing
import statistics
import time
from multiprocessing.connection import Connection
from typing import Any

import fire

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.clock import SystemClock
from bulrushloom.instance.messages import StatementAnswer, StatementRequest
from bulrushloom.peers.base import MessageReceived
from bulrushloom.peers.codec import MessageCodec
from bulrushloom.peers.http import HTTPPeerTransport

MEASURED_INSTANCE = "subject"
LOG_POSITION = LogPosition(3, 123_456)
SQL = "SELECT id, state, total FROM orders WHERE customer = ? AND state = ? LIMIT 10"
ROWS = [[i, "open", 12.5] for i in range(5)]


def _request(request_id: str, target: str) -> StatementRequest:
    return StatementRequest(
        request_id,
        "run",
        "hotel-orders",
        "orders",
        target,
        SQL,
        [17, "open"],
        True,
        LOG_POSITION,
        500,
        5000,
        "",
        "",
    )


def _answer(request: StatementRequest) -> StatementAnswer:
    columns = ["id", "state", "total"]
    return StatementAnswer(
        request.request_id, columns, ROWS, 5, LOG_POSITION, "replica", "", "", False
    )


class Endpoint:
    """Answers the statements of other endpoints and records round trips of its own."""

    def __init__(self, name: str):
        codec = MessageCodec([StatementRequest, StatementAnswer])
        self.name = name
        self.sent_at_by_id: dict[str, float] = {}
        self.round_trips_s: list[float] = []
        self.failure_count = 0
        self.transport = HTTPPeerTransport(
            name, "d", f"{name}-1", "secret", "127.0.0.1:0", SystemClock(), codec
        )
        self.transport.start(self._deliver)

    def _deliver(self, event: Any) -> None:
        if not isinstance(event, MessageReceived):
            self.failure_count += 1
        elif isinstance(event.message, StatementRequest):
            self.transport.send(event.sender, _answer(event.message))
        else:
            request_id = event.message[0]
            sent_at = self.sent_at_by_id.pop(request_id, None)
            if sent_at is not None:
                self.round_trips_s.append(time.perf_counter() - sent_at)

    def send_statement(self, peer: str, number: int) -> None:
        """Send one statement to a peer."""
        request_id = f"{self.name}-{number}"
        self.sent_at_by_id[request_id] = time.perf_counter()
        self.transport.send(peer, _request(request_id, peer))


def _send_paced(
    endpoints: list[Endpoint], peers: list[str], rate: int, seconds: float
) -> None:
    started = time.perf_counter()
    sent = 0
    while (elapsed := time.perf_counter() - started) < seconds:
        while sent < elapsed * rate:
            endpoints[sent % len(endpoints)].send_statement(
                peers[sent % len(peers)], sent
            )
            sent += 1
        time.sleep(0.001)


def _serve_peers(pipe: Connection, peer_count: int) -> None:
    """Run the peers in a child process and send at each rate that the pipe delivers.

    The pipe exchanges addresses first and ends the process with ``None``.
    """
    endpoints = [Endpoint(name) for name in peer_names(peer_count)]
    pipe.send({endpoint.name: endpoint.transport.address for endpoint in endpoints})
    measured_address = pipe.recv()
    for endpoint in endpoints:
        endpoint.transport.update_peers({MEASURED_INSTANCE: measured_address})
    while load := pipe.recv():
        rate, seconds = load
        if rate:
            _send_paced(endpoints, [MEASURED_INSTANCE], rate, seconds)
    for endpoint in endpoints:
        endpoint.transport.close()


def peer_names(count: int) -> list[str]:
    """Return the names of ``count`` peers."""
    return [f"peer-{number}" for number in range(count)]


def _measure(
    endpoint: Endpoint, pipe: Connection, peers: list[str], rate: int, seconds: float
) -> None:
    endpoint.round_trips_s.clear()
    counts_before, cpu_before_s = endpoint.transport.counts, time.process_time()
    pipe.send((rate, seconds))
    if rate:
        _send_paced([endpoint], peers, rate, seconds)
    else:
        time.sleep(seconds)
    time.sleep(0.3)
    cpu_used_s = time.process_time() - cpu_before_s
    counts_after = endpoint.transport.counts
    messages = counts_after.messages - counts_before.messages
    print(
        f"rate {rate}/s each way: sent {messages} messages "
        f"in {counts_after.batches - counts_before.batches} batches, "
        f"{cpu_used_s / (seconds + 0.3):.3f} core"
    )
    if endpoint.round_trips_s:
        percentiles_s = statistics.quantiles(endpoint.round_trips_s, n=100)
        print(
            f"  {cpu_used_s / messages * 1e6:.0f} us of CPU per message sent and one "
            f"received, round trip median {percentiles_s[49] * 1e3:.2f} ms, "
            f"99% {percentiles_s[98] * 1e3:.2f} ms, "
            f"unanswered {len(endpoint.sent_at_by_id)}, "
            f"failures {endpoint.failure_count}"
        )


def main(seconds: float = 4.0, peers: int = 13) -> None:
    """Print the cost of an idle transport and of several rates."""
    pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_serve_peers, args=(child_pipe, peers))
    process.start()
    endpoint = Endpoint(MEASURED_INSTANCE)
    endpoint.transport.update_peers(pipe.recv())
    pipe.send(endpoint.transport.address)
    for rate in (50, 0, 300, 600, 1200):
        _measure(endpoint, pipe, peer_names(peers), rate, seconds)
    pipe.send(None)
    endpoint.transport.close()
    process.join(10)


if __name__ == "__main__":
    fire.Fire(main)
