"""Message classes and transports for peer tests."""

import queue
import time
from contextlib import ExitStack, contextmanager
from typing import Any, NamedTuple

from bulrushloom.core.clock import SystemClock
from bulrushloom.instance import messages
from bulrushloom.peers.codec import MessageCodec
from bulrushloom.peers.http import HTTPPeerTransport
from bulrushloom.peers.options import TransportOptions

SECRET = "fleet-secret"
CLASSES = [
    messages.StatementRequest,
    messages.StatementAnswer,
    messages.GroupView,
    messages.GroupViewRequest,
]


class Node(NamedTuple):
    """A started transport and the events that it delivered."""

    transport: HTTPPeerTransport
    events: "queue.SimpleQueue[Any]"

    def next_event(self, seconds=5.0):
        return self.events.get(timeout=seconds)

    def remaining_events(self):
        events = []
        while not self.events.empty():
            events.append(self.events.get())
        return events


def group(text: str) -> messages.GroupViewRequest:
    return messages.GroupViewRequest(text)


@contextmanager
def fleet(*names, secrets=None, clock=None, **options):
    with ExitStack() as stack:
        nodes = []
        for name in names:
            transport = HTTPPeerTransport(
                name,
                f"domain-{name}",
                f"{name}-1",
                (secrets or {}).get(name, SECRET),
                "127.0.0.1:0",
                clock or SystemClock(),
                MessageCodec(CLASSES),
                metrics=lambda: {"m": 1},
                status=lambda: {"s": 2},
                options=TransportOptions(**options),
            )
            events: queue.SimpleQueue[Any] = queue.SimpleQueue()
            transport.start(events.put)
            stack.callback(transport.close)
            nodes.append(Node(transport, events))
        table = {
            n: node.transport.address for n, node in zip(names, nodes, strict=True)
        }
        for node in nodes:
            node.transport.update_peers(table)
        yield nodes


def wait_until(condition, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.005)
    assert condition()
