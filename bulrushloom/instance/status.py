"""The instance's view of the fleet, as JSON values."""

from datetime import timedelta
from typing import Any

from bulrushloom.core.sentinels import Missing
from bulrushloom.instance.groups import WatchedGroup
from bulrushloom.instance.node import Node


def node_status(node: Node, now: timedelta) -> dict[str, Any]:
    """Return the response to ``GET /v1/status``."""
    entry = node.table.local_entry
    return {
        "name": entry.name,
        "domain": entry.domain,
        "incarnation": entry.incarnation,
        "rules_version": node.tracker.version,
        "fresh": node.tracker.is_fresh(now),
        "draining": node.draining,
        "requests": len(node.router),
        "shares": {holder.key: holder.state for holder in node.share_holders},
        "instances": {
            name: node.table.is_reachable(name, now)
            for name in sorted(node.table.instance_by_name)
        },
        "groups": {
            name: _group_status(group, now)
            for name, group in sorted(node.groups.group_by_name.items())
        },
    }


def _group_status(group: WatchedGroup, now: timedelta) -> dict[str, Any]:
    state = group.monitor.view
    servers = {}
    for target, server in state.server_by_target.items():
        status = server.status
        if isinstance(status, Missing):
            servers[target] = {"reachable": server.reachable, "seen": status.reason}
            continue
        servers[target] = {
            "reachable": server.reachable,
            "role": status.role.value,
            "term": status.term,
            "held": list(status.stored_position),
            "applied": list(status.applied_position),
        }
    missing = isinstance(state.primary, Missing)
    return {
        "term": state.term,
        "primary": "" if missing else state.primary,
        "reason": state.primary.reason if isinstance(state.primary, Missing) else "",
        "servers": servers,
    }
