"""Content of the reports of one instance."""

from datetime import timedelta

from bulrushloom.proxy.exchange.messages import (
    Directory,
    DirectoryVersion,
    Member,
    Report,
    ReportKind,
    StoreView,
)
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.proxy.services import Services

# Older log positions of a primary are not reported.
MAX_POSITION_AGE = timedelta(seconds=3)


def build_report(
    services: Services, member: Member, kind: ReportKind, stamp: int
) -> Report:
    """Return a report of what this instance knows of the store and of the groups."""
    now = services.loop.now()
    return Report(
        member,
        now,
        kind,
        stamp=stamp,
        position_by_service=_recent_positions(services, now),
        acknowledged_by_service=services.commits.position_by_service,
        view=_store_view(services, now),
        followed_version_by_service=services.followed_versions(),
    )


def _recent_positions(services: Services, now: timedelta) -> dict[str, PositionSample]:
    positions = {}
    for service, history in services.position_histories().items():
        latest = history.latest()
        if latest is not None and now - latest.taken_at < MAX_POSITION_AGE:
            positions[service] = latest
    return positions


def _store_view(services: Services, now: timedelta) -> StoreView | None:
    """Return the view of the store if this instance acts on every known group record.

    A receiver adopts the view only if it follows these records or newer ones.
    """
    followed = services.followed_versions()
    if followed.keys() != services.table.group_by_service.keys():
        return None
    if not services.store_freshness.is_recent(now):
        return None
    eras = services.eras
    return StoreView(
        services.store_freshness.last_read_at,
        services.configuration.version,
        eras.era,
        eras.knowledge(now),
        eras.is_settled,
    )


def directory_version(directory: Directory | None) -> DirectoryVersion | None:
    """Return the version of a directory for a report."""
    if directory is None:
        return None
    return DirectoryVersion(directory.listed_at, directory.version)
