"""Builders of schedulers and of the load of the larger deployment."""

from random import Random
from typing import NamedTuple

from bulrushloom.proxy.scheduling.base import WorkRequest
from bulrushloom.proxy.scheduling.scheduler import DomainTargetScheduler
from tests.proxy.builders import ms
from tests.proxy.scheduling.simulation import Operation


class Kind(NamedTuple):
    """Kind of operations: work in ms, objective, and time for which it may wait."""

    priority: int
    work: float
    objective: object
    patience: object


BOOKING = Kind(0, 4.5, ms(150), ms(110))
BILLING = Kind(1, 14, ms(250), ms(190))
LOOKUP = Kind(2, 22, ms(800), ms(600))


def build_schedulers(count, **parts):
    return [
        DomainTargetScheduler(4, count, ms(0), random=Random(index), **parts)
        for index in range(count)
    ]


def build_operation(kind, account="hotel", retries=0, factor=1.0):
    work = ms(kind.work * factor)
    return Operation(kind.priority, work, kind.patience, account, retries)


def offer(simulation, kind, rate_per_s, period, domains=(0,), seed=1, retries=0):
    """Let operations of 30 accounts arrive at random in a period in ms; return them."""
    random = Random(seed)
    at, end = period
    operations = []
    while (at := at + random.expovariate(rate_per_s) * 1000) < end:
        account = f"account-{random.randrange(30)}"
        factor = random.uniform(0.5, 1.5)
        operation = build_operation(kind, account, retries, factor)
        domain = random.choice(domains)
        operations.append(simulation.arrive(ms(at), domain, operation))
    return operations


def build_request(
    request_id, account, priority, requested_at, start_deadline, in_time_until=None
):
    """Return a request that is useless once it would be late, unless that differs."""
    return WorkRequest(
        request_id,
        account,
        priority,
        requested_at,
        start_deadline if in_time_until is None else in_time_until,
        start_deadline,
    )
