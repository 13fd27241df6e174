"""Measure what the peer transport costs one instance, as entry and as owner.

One process holds the measured instance, another one its peers. At each rate the
instance sends that many statements a second to its peers, and its peers send it as
many; every statement is answered.
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

SUBJECT = "subject"
POSITION = LogPosition(3, 123_456)
SQL = "SELECT id, state, total FROM orders WHERE customer = ? AND state = ? LIMIT 10"
ROWS = [[i, "open", 12.5] for i in range(5)]


def _request(request_id: str, target: str) -> StatementRequest:
    return StatementRequest(
        request_id,
        "hotel-orders",
        "orders",
        target,
        SQL,
        [17, "open"],
        True,
        POSITION,
        500,
        5000,
        "",
        "",
    )


def _answer(request: StatementRequest) -> StatementAnswer:
    columns = ["id", "state", "total"]
    return StatementAnswer(
        request.request_id, columns, ROWS, 5, POSITION, "replica", "", "", False
    )


class Party:
    """Answer statements and record the round trips of the own ones."""

    def __init__(self, name: str):
        codec = MessageCodec([StatementRequest, StatementAnswer])
        self.name = name
        self.sent_at: dict[str, float] = {}
        self.round_trips: list[float] = []
        self.other_events = 0
        self.transport = HTTPPeerTransport(
            name, "d", f"{name}-1", "secret", "127.0.0.1:0", SystemClock(), codec
        )
        self.transport.start(self._deliver)

    def _deliver(self, event: Any) -> None:
        if not isinstance(event, MessageReceived):
            self.other_events += 1
        elif isinstance(event.message, StatementRequest):
            self.transport.send(event.sender, _answer(event.message))
        else:
            request_id = event.message[0]
            sent = self.sent_at.pop(request_id, None)
            if sent is not None:
                self.round_trips.append(time.perf_counter() - sent)

    def ask(self, peer: str, number: int) -> None:
        """Send one statement."""
        request_id = f"{self.name}-{number}"
        self.sent_at[request_id] = time.perf_counter()
        self.transport.send(peer, _request(request_id, peer))


def _paced(parties: list[Party], targets: list[str], rate: int, seconds: float) -> None:
    begun = time.perf_counter()
    sent = 0
    while (elapsed := time.perf_counter() - begun) < seconds:
        while sent < elapsed * rate:
            parties[sent % len(parties)].ask(targets[sent % len(targets)], sent)
            sent += 1
        time.sleep(0.001)


def _serve_peers(pipe: Connection, peers: int) -> None:
    parties = [Party(f"peer-{i}") for i in range(peers)]
    pipe.send({party.name: party.transport.address for party in parties})
    subject_address = pipe.recv()
    for party in parties:
        party.transport.update_peers({SUBJECT: subject_address})
    while order := pipe.recv():
        rate, seconds = order
        if rate:
            _paced(parties, [SUBJECT], rate, seconds)
    for party in parties:
        party.transport.close()


def _measure(subject: Party, pipe: Connection, rate: int, seconds: float) -> None:
    subject.round_trips.clear()
    before, cpu = subject.transport.counts, time.process_time()
    pipe.send((rate, seconds))
    if rate:
        _paced([subject], [f"peer-{i}" for i in range(13)], rate, seconds)
    else:
        time.sleep(seconds)
    time.sleep(0.3)
    used = time.process_time() - cpu
    after = subject.transport.counts
    messages = after.messages - before.messages
    print(
        f"rate {rate}/s each way: sent {messages} messages "
        f"in {after.batches - before.batches} batches, "
        f"{used / (seconds + 0.3):.3f} core"
    )
    if subject.round_trips:
        cuts = statistics.quantiles(subject.round_trips, n=100)
        print(
            f"  {used / messages * 1e6:.0f} us of CPU per message sent and one "
            f"received, round trip median {cuts[49] * 1e3:.2f} ms, "
            f"99% {cuts[98] * 1e3:.2f} ms, unanswered {len(subject.sent_at)}, "
            f"failures {subject.other_events}"
        )


def main(seconds: float = 4.0, peers: int = 13) -> None:
    """Print the cost when idle and at several rates."""
    pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_serve_peers, args=(child_pipe, peers))
    process.start()
    subject = Party(SUBJECT)
    subject.transport.update_peers(pipe.recv())
    pipe.send(subject.transport.address)
    for rate in (50, 0, 300, 600, 1200):
        _measure(subject, pipe, rate, seconds)
    pipe.send(None)
    subject.transport.close()
    process.join(10)


if __name__ == "__main__":
    fire.Fire(main)
