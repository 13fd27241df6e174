"""The documents that operators and database servers write to the platform's store."""

from typing import Any


def build_document(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Return a configuration document; ``changes`` replace top-level fields."""
    document: dict[str, Any] = {
        "Version": version,
        "Routes": [
            {
                "Name": "r-1",
                "Host": "stock",
                "Prefix": "/",
                "Type": "bounded_staleness",
                "TimeoutMs": 2000,
                "SloMs": 600,
                "Priority": 2,
                "Service": "orders",
                "MaxStalenessMs": 1500,
                "Public": False,
            },
            {
                "Name": "r-2",
                "Host": "booking",
                "Prefix": "/",
                "Type": "primary",
                "TimeoutMs": 1000,
                "SloMs": 400,
                "Priority": 1,
                "Service": "orders",
                "Public": False,
            },
        ],
        "Services": [{"Name": "orders", "MaxConns": 42, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 2500},
        "Tenants": [
            {
                "Name": "hotel",
                "ApiKeys": ["key-1", "key-2"],
                "Priority": 1,
                "RatePerS": 68,
                "Burst": 70,
            }
        ],
        "SomethingNew": {"field": 1},
    }
    return document | changes


def build_entry(**changes: Any) -> dict[str, Any]:
    """Return the registration of a database server; ``changes`` replace fields."""
    entry: dict[str, Any] = {
        "Service": "orders",
        "Addr": "127.0.0.1:8080",
        "Zone": "north",
        "Version": "v1",
        "Slots": 3,
        "State": "ready",
        "ColdLeftMs": 0,
        "DbRole": "replica",
        "Seq": 4,
        "born": 1_700_000_000_000,
    }
    return entry | changes
