"""Settings type."""

from typing import NamedTuple


class Settings(NamedTuple):
    """The validated settings of one instance.

    Addresses are ``host:port``; ``peer_address`` also serves metrics and status.
    """

    name: str
    domain: str
    caller_address: str
    peer_address: str
    store_address: str
    directory_address: str
    fleet_secret: str
    log_path: str
    gateway_threads: int
    max_body_bytes: int
    request_timeout_ms: int
    drain_timeout_ms: int
    poll_interval_ms: int
    fault_injection: bool
