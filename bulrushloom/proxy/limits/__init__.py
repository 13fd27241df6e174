"""Limits of the client accounts over all instances; no I/O."""

from bulrushloom.proxy.limits.limiter import HEADROOM_SPREAD_TIME, AccountLimiter
from bulrushloom.proxy.limits.starting import HOT_ACCOUNT_SHARE
from bulrushloom.proxy.limits.usage import (
    NO_USAGE,
    PeerUsage,
    RateWindow,
    Usage,
    add_usage,
)

__all__ = [
    "HEADROOM_SPREAD_TIME",
    "HOT_ACCOUNT_SHARE",
    "NO_USAGE",
    "AccountLimiter",
    "PeerUsage",
    "RateWindow",
    "Usage",
    "add_usage",
]
