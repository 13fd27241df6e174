"""A TCP proxy on loopback that injects network faults."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import Listener, Stream, TcpNetwork, TcpStream

CONNECT_TIMEOUT = timedelta(seconds=2)
DIRECTIONS = ("there", "back")
_ZERO = timedelta()


class FaultLink:
    """A proxy that forwards connections from ``address`` to ``target``.

    ``delay`` is the latency added to all bytes. ``held_directions`` has the directions
    (``"there"``, ``"back"``) in which bytes are held until the direction is removed, as
    in a one-way partition. With ``is_refusing``, new connections are closed at once.
    ``held_hosts`` and ``refused_hosts`` do the same to connections from some hosts, in
    both directions.
    """

    def __init__(self, loop: Loop, address: str, target: str):
        self.loop = loop
        self.address = address
        self._network = TcpNetwork(loop)
        self._target = target
        self._relays: set[Relay] = set()
        self._listener = Listener(loop, address, self._accept)
        self.delay = _ZERO
        self.held_directions: set[str] = set()
        self.is_refusing = False
        self.held_hosts: set[str] = set()
        self.refused_hosts: set[str] = set()

    def _accept(self, near: Stream) -> None:
        host = near.peer_host if isinstance(near, TcpStream) else ""
        if self.is_refusing or host in self.refused_hosts:
            near.close("refused")
            return
        self.loop.spawn(self._connect(near, host))

    def _connect(self, near: Stream, host: str) -> Steps:
        try:
            far = yield self._network.connect(self._target, CONNECT_TIMEOUT)
        except OSError as error:
            near.close(f"no connection: {error}")
            return
        relay = Relay(self, near, far, host, self._relays.discard)
        self._relays.add(relay)
        # Forwards the bytes that arrived before the connection to the target was open.
        relay.flush()

    def reset(self) -> None:
        """Close all connections."""
        for relay in list(self._relays):
            relay.close()

    def refuse(self, hosts: set[str]) -> None:
        """Close the connections from some hosts, and refuse new ones."""
        self.refused_hosts |= hosts
        for relay in list(self._relays):
            if relay.host in hosts:
                relay.close()

    def is_held(self, host: str, direction: str) -> bool:
        """Return whether bytes of connections from ``host`` are held."""
        return direction in self.held_directions or host in self.held_hosts

    def silence(self) -> None:
        """Drop all further data of the current connections, also after ``heal``."""
        for relay in self._relays:
            relay.is_silent = True

    def heal(self) -> None:
        """Remove all faults and deliver the held bytes."""
        self.delay = _ZERO
        self.held_directions.clear()
        self.held_hosts.clear()
        self.refused_hosts.clear()
        self.is_refusing = False
        for relay in list(self._relays):
            relay.flush()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        self.reset()


class Relay:
    """A proxied connection, which forwards bytes in both directions."""

    def __init__(
        self,
        link: FaultLink,
        near: Stream,
        far: Stream,
        host: str,
        on_close: Callable[["Relay"], None],
    ):
        self._link = link
        self._on_close = on_close
        self.host = host
        self.is_silent = False
        self._pipes = (
            Pipe(self, link, "there", near, far),
            Pipe(self, link, "back", far, near),
        )
        self._streams = (near, far)

    def flush(self) -> None:
        """Forward the held bytes in both directions."""
        for pipe in self._pipes:
            pipe.forward()

    def close(self) -> None:
        """Close both ends."""
        for stream in self._streams:
            stream.close("closed by the link")
        self._on_close(self)


class Pipe:
    """One direction of a connection; keeps the order of bytes and end of stream."""

    def __init__(
        self,
        relay: Relay,
        link: FaultLink,
        direction: str,
        source: Stream,
        sink: Stream,
    ):
        self._relay = relay
        self._link = link
        self._direction = direction
        self._source = source
        self._sink = sink
        self._next_delivery_at = link.loop.now()
        self._undelivered: deque[tuple[bytes, bool]] = deque()
        source.on_data(self.forward)

    def forward(self) -> None:
        """Forward the received bytes after the link's delay."""
        relay = self._relay
        if relay.is_silent or self._link.is_held(relay.host, self._direction):
            return
        data = self._source.read_all()
        has_ended = self._source.at_eof
        if not data and not has_ended:
            return
        now = self._link.loop.now()
        # After a reduction of the delay, later bytes must not overtake earlier ones.
        self._next_delivery_at = max(self._next_delivery_at, now + self._link.delay)
        self._undelivered.append((data, has_ended))
        self._link.loop.call_later(self._next_delivery_at - now, self._deliver_next)

    def _deliver_next(self) -> None:
        """Deliver the earliest bytes, whichever of the timers fires first.

        Timers for the same moment may fire in any order, because each is started at a
        slightly different time.
        """
        data, has_ended = self._undelivered.popleft()
        self._sink.write(data)
        if has_ended:
            self._relay.close()
