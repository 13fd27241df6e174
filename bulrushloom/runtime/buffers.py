"""Interface between the buffers of a stream and the limits that apply to them."""

from abc import ABC, abstractmethod
from collections.abc import Callable


class BufferAccount(ABC):
    """Memory of one connection in a budget that several connections share.

    The stream sets ``on_room``, which is called when a connection whose reading was
    paused may receive again.
    """

    on_room: Callable[[], None] = staticmethod(lambda: None)

    @abstractmethod
    def set_buffered(self, size: int) -> None:
        """Record that the stream buffers ``size`` received and unsent bytes."""

    @abstractmethod
    def receivable(self) -> int:
        """Return how many bytes may be received now; 0 pauses the reading."""
