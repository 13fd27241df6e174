"""Exchange with the names and load of a deployment, and the bytes that it costs."""

import random
from collections import Counter
from contextlib import ExitStack
from datetime import timedelta
from itertools import accumulate
from typing import NamedTuple

from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.failover.groups import GroupPhase
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from tests.proxy.builders import build_account, build_configuration, build_group, ms
from tests.proxy.exchange.builders import SimulatedExchange

SERVICES = ("fihu12a", "tagu07c", "mipo31b", "sedo22d")
ZIPF_EXPONENT = 1.2
STEP = ms(20)
SECOND = timedelta(seconds=1)
DELAY_BY_DISTANCE = {
    "own_domain": ms(0.2),
    "own_region": ms(1.4),
    "other_region": ms(8),
}


class Deployment(NamedTuple):
    """Numbers of docs/design/hard-load.md; regions have equally many domains."""

    instances: int
    domains: int
    regions: int
    accounts: int
    operations_per_s: int


DEPLOYMENT_1 = Deployment(146, 3, 1, 88, 63 + 296 + 110)
DEPLOYMENT_2 = Deployment(79, 6, 2, 82, 59 + 277 + 59)


class TrafficExchange(SimulatedExchange):
    """Exchange under the load of a deployment, whose accounts follow a Zipf law.

    ``bytes_by_distance`` counts what was sent within a domain, to other domains of the
    region, and to other regions.
    """

    def __init__(self, stack: ExitStack, deployment: Deployment):
        super().__init__(stack, deployment.instances, 0, deployment.domains)
        self._rng, self._deployment = random.Random(7), deployment
        self.accounts = self._make_accounts()
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, len(self.accounts) + 1)]
        self._weights = list(accumulate(weights))
        self._offset = 0
        domains = dict.fromkeys(m.domain for m in self.member_by_name.values())
        self.region_by_domain = {
            domain: f"region-{number * deployment.regions // deployment.domains}"
            for number, domain in enumerate(domains)
        }
        self.bytes_by_distance: Counter[str] = Counter()
        self.datagrams.one_way = lambda sender, receiver: DELAY_BY_DISTANCE[
            self.distance(self.member_by_name[sender], self.member_by_name[receiver])
        ]
        self.run(SECOND)
        self._configure()
        self._count_bytes()

    def _make_accounts(self):
        words = ("bora", "tigo", "velena")
        names = [f"{self._rng.choice(words)}{number:03}" for number in range(500)]
        return [
            build_account(name, rate_per_s=100_000.0)
            for name in self._rng.sample(names, self._deployment.accounts)
        ]

    def _configure(self):
        configuration = build_configuration(
            accounts={account.name: account for account in self.accounts}
        )
        groups = {
            name: build_group(name, phase=GroupPhase.STEADY, primary_id="i-1")
            for name in SERVICES
        }
        for services in self.services_by_name.values():
            services.configuration = configuration
            services.apply_group_records(groups)

    def _count_bytes(self):
        member_by_address = {m.address: m for m in self.member_by_name.values()}
        for name, fleet in self.fleet_by_name.items():
            sender, endpoint = self.member_by_name[name], fleet._endpoint

            def count(address, data, sender=sender, send=endpoint.send):
                distance = self.distance(sender, member_by_address[address])
                self.bytes_by_distance[distance] += len(data)
                send(address, data)

            endpoint.send = count

    def distance(self, sender: Member, receiver: Member) -> str:
        if sender.domain == receiver.domain:
            return "own_domain"
        region = self.region_by_domain[sender.domain]
        is_own = region == self.region_by_domain[receiver.domain]
        return "own_region" if is_own else "other_region"

    def offer(self, duration: timedelta) -> None:
        """Let random instances admit operations of random accounts."""
        instances = list(self.services_by_name.values())
        due = 0.0
        for _ in range(duration // STEP):
            due += self._deployment.operations_per_s * (STEP / SECOND)
            while due >= 1:
                due -= 1
                self._admit(self._rng.choice(instances))
            self.run(STEP)

    def _admit(self, services):
        now = self.loop.now()
        [account] = self._rng.choices(self.accounts, cum_weights=self._weights)
        services.limiter.record_demand(account, now)
        services.limiter.try_admit(account, now)
        service = self._rng.choice(SERVICES)
        self._offset += 1
        position = LogPosition(1, self._offset)
        services.history(service).record(PositionSample(now, position))
        services.commits.record_position(service, position)


def measure(exchange: TrafficExchange) -> dict[str, float]:
    """Return the bytes a second of all instances, by distance, under steady load."""
    exchange.offer(SECOND * 6)
    exchange.bytes_by_distance.clear()
    exchange.offer(SECOND * 4)
    return {name: size / 4 for name, size in exchange.bytes_by_distance.items()}


def measure_announcement(exchange: TrafficExchange) -> dict[str, int]:
    """Return the bytes of one announcement of a group record, by distance."""
    exchange.run(SECOND * 3)
    leader = exchange.fleet_by_name[exchange.leader_name]
    record = build_group(SERVICES[0]).encode().decode()
    exchange.bytes_by_distance.clear()
    leader.announce(leader.peers_by_name.values(), {SERVICES[0]: (20, record)})
    return dict(exchange.bytes_by_distance)


def measure_usage_delays(exchange: TrafficExchange) -> list[timedelta]:
    """Return how long the instances need to count operations admitted everywhere."""
    delays = []
    exchange.accounts = exchange.accounts[:5]
    [first, *_] = exchange.accounts
    for repetition in range(6):
        # Previous operations leave the window; the phase within a round varies.
        exchange.run(ms(5600 + 37 * repetition))
        exchange.admit_everywhere()
        count = len(exchange.services_by_name)
        delays += exchange.delays_until_counted(first.name, count)
    return delays
