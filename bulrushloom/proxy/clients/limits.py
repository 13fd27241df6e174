"""Limits of a process for its clients, derived from the settings."""

import resource
from typing import NamedTuple

from bulrushloom.proxy.clients.memory_budget import MemoryLimits, memory_limits
from bulrushloom.proxy.clients.session_bounds import max_http_connections, max_sessions
from bulrushloom.proxy.settings import ProxySettings

# Descriptors of a machine that are not available to sockets.
FILE_DESCRIPTORS = 200
# A process has few open files beside its sockets.
OTHER_DESCRIPTORS = 64
UNLIMITED_DESCRIPTORS = 65_536


class ClientLimits(NamedTuple):
    """Limits of memory (bytes) and numbers of connections."""

    memory: MemoryLimits
    max_sessions: int
    max_http_connections: int


def client_limits(settings: ProxySettings) -> ClientLimits:
    """Return the limits for the settings and the process's descriptor limit."""
    sockets = socket_limit(
        resource.getrlimit(resource.RLIMIT_NOFILE)[0], settings.descriptor_limit
    )
    memory = memory_limits(settings.memory_limit_mb)
    return ClientLimits(
        memory, max_sessions(sockets, memory), max_http_connections(sockets)
    )


def socket_limit(process_limit: int, descriptor_limit: int | None) -> int:
    """Return how many sockets a process may have.

    ``process_limit`` is the limit that the kernel enforces, -1 if there is none.
    """
    if process_limit == resource.RLIM_INFINITY:
        process_limit = UNLIMITED_DESCRIPTORS
    sockets = process_limit - OTHER_DESCRIPTORS
    if descriptor_limit is not None:
        sockets = min(sockets, descriptor_limit - FILE_DESCRIPTORS)
    return max(sockets, 0)
