"""A loopback proxy for TCP connections that injects faults."""

from collections.abc import Callable
from datetime import timedelta

from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import Listener, Stream, TcpNetwork

CONNECT_LIMIT = timedelta(seconds=2)
_ZERO = timedelta()


class FaultLink:
    """Forward connections from ``address`` to ``target``.

    ``delay`` holds all bytes back for a time. ``held`` names the directions
    (``"there"``, ``"back"``) in which bytes wait until the direction is taken out
    again, as on a network that is cut. ``is_refusing`` ends new connections at once.
    """

    def __init__(self, loop: Loop, address: str, target: str):
        self.loop = loop
        self.address = address
        self._network = TcpNetwork(loop)
        self._target = target
        self._relays: set[Relay] = set()
        self._listener = Listener(loop, address, self._accept)
        self.delay = _ZERO
        self.held: set[str] = set()
        self.is_refusing = False

    def _accept(self, near: Stream) -> None:
        if self.is_refusing:
            near.close("refused")
            return
        self.loop.spawn(self._connect(near))

    def _connect(self, near: Stream) -> Steps:
        try:
            far = yield self._network.connect(self._target, CONNECT_LIMIT)
        except OSError as error:
            near.close(f"no connection: {error}")
            return
        relay = Relay(self, near, far, self._relays.discard)
        self._relays.add(relay)
        # Bytes that came before the far end was connected.
        relay.flush()

    def reset(self) -> None:
        """Close all connections."""
        for relay in list(self._relays):
            relay.close()

    def silence(self) -> None:
        """Let all present connections fall silent for good."""
        for relay in self._relays:
            relay.is_silent = True

    def heal(self) -> None:
        """End all faults; bytes that waited are delivered."""
        self.delay = _ZERO
        self.held.clear()
        self.is_refusing = False
        for relay in list(self._relays):
            relay.flush()

    def close(self) -> None:
        """Stop forwarding."""
        self._listener.close()
        self.reset()


class Relay:
    """Forward one connection in both directions."""

    def __init__(
        self,
        link: FaultLink,
        near: Stream,
        far: Stream,
        on_close: Callable[["Relay"], None],
    ):
        self._link = link
        self._on_close = on_close
        self.is_silent = False
        self._pipes = (
            Pipe(self, link, "there", near, far),
            Pipe(self, link, "back", far, near),
        )
        self._streams = (near, far)

    def flush(self) -> None:
        """Deliver what waited in both directions."""
        for pipe in self._pipes:
            pipe.forward()

    def close(self) -> None:
        """Close both ends."""
        for stream in self._streams:
            stream.close("closed by the link")
        self._on_close(self)


class Pipe:
    """Forward bytes and the end of the stream in one direction, in order."""

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
        self._free_at = link.loop.now()
        source.on_data(self.forward)

    def forward(self) -> None:
        """Take what arrived and send it on after the link's delay."""
        if self._relay.is_silent or self._direction in self._link.held:
            return
        data = self._source.read_all()
        has_ended = self._source.at_eof
        if not data and not has_ended:
            return
        now = self._link.loop.now()
        # A delay that shrinks must not let later bytes overtake earlier ones.
        self._free_at = max(self._free_at, now + self._link.delay)
        self._link.loop.call_later(
            self._free_at - now, lambda: self._deliver(data, has_ended)
        )

    def _deliver(self, data: bytes, has_ended: bool) -> None:
        self._sink.write(data)
        if has_ended:
            self._relay.close()
