"""Builders of members, reports, codecs that share their keys, and of an exchange."""

import os
from contextlib import ExitStack
from datetime import timedelta
from functools import partial

from bulrushloom.core.clock import ManualClock
from bulrushloom.proxy.exchange.codec import ReportCodec
from bulrushloom.proxy.exchange.directory import make_directory
from bulrushloom.proxy.exchange.fleet import Copier, Fleet
from bulrushloom.proxy.exchange.keys import new_keys
from bulrushloom.proxy.exchange.messages import GroupUsage, Member, Report, ReportKind
from bulrushloom.proxy.limits import Usage
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.loop import Loop
from standins.platform.fleet import MemoryDatagrams, MemoryEndpoint
from standins.platform.network import MemoryNetwork, run_for
from tests.proxy.builders import SETTINGS, build_account

NOW = timedelta(hours=1)
KEYS = new_keys(0.0)


def build_member(name, domain="north", **changes):
    member = Member(name, f"run-{name}", "127.0.0.1:7001", domain, "127.0.0.1:7002")
    return member._replace(**changes)


def build_codec(name, keys=KEYS, **changes):
    codec = ReportCodec(build_member(name, **changes))
    codec.keys = keys
    return codec


def build_report(name, stamp, kind=ReportKind.UP, now=NOW, **changes):
    return Report(build_member(name), now, kind, stamp=stamp)._replace(**changes)


def build_usage(count=1, reported_at=NOW, source="run", **admitted_by_account):
    usage = {name: Usage(used, 1.0, 0.5) for name, used in admitted_by_account.items()}
    return GroupUsage(count, reported_at, source, usage)


class Pair:
    """Two codecs whose clocks differ by an hour."""

    def __init__(self):
        self.a, self.b = build_codec("north-1"), build_codec("north-2")
        self.now_a, self.now_b = NOW, NOW * 2

    def advance(self, duration):
        self.now_a += duration
        self.now_b += duration

    def from_a(self, is_compact=False, **changes):
        stamp = self.a.next_stamp(self.now_a)
        report = build_report("north-1", stamp, now=self.now_a, **changes)
        receivers = [build_member("north-2")]
        return self.a.encode(report, receivers, {}, self.now_a, is_compact)

    def from_b(self, **changes):
        stamp = self.b.next_stamp(self.now_b)
        report = build_report("north-2", stamp, now=self.now_b, **changes)
        return self.b.encode(report, [build_member("north-1")], {}, self.now_b)

    def introduce(self):
        """Make each codec know a timestamp of the other one."""
        self.b.decode(self.from_a(), self.now_b)
        self.a.decode(self.from_b(), self.now_a)


class CountedUsage:
    """Steady admissions of one account everywhere, and what instances count of them.

    ``ratios`` holds, for each step and instance, the counted operations divided by
    those that were really admitted in the window.
    """

    STEP = timedelta(milliseconds=100)

    def __init__(self, exchange: "SimulatedExchange"):
        self.exchange = exchange
        self.account = build_account("account-0", rate_per_s=100_000.0)
        self.admitted_at: list[timedelta] = []
        self.ratios: list[float] = []

    def run(self, duration: timedelta) -> None:
        exchange = self.exchange
        for _ in range(duration // self.STEP):
            now = exchange.loop.now()
            for services in exchange.services_by_name.values():
                services.limiter.record_demand(self.account, now)
                if services.limiter.try_admit(self.account, now) <= timedelta():
                    self.admitted_at.append(now)
            exchange.run(self.STEP)
            self._record()

    def _record(self) -> None:
        now = self.exchange.loop.now()
        window = SETTINGS.rate_window
        admitted = sum(at > now - window for at in self.admitted_at)
        for services in self.exchange.services_by_name.values():
            counted = services.limiter.admitted(self.account.name, now)
            self.ratios.append(counted / max(admitted, 1))


DOMAINS = ("north", "south", "west", "east", "coast", "hills")
STORE_READ_INTERVAL = timedelta(milliseconds=400)


class SimulatedExchange:
    """Instances that only exchange reports; the leader refreshes its store read.

    The directory is known to all from the start. ``admit_everywhere`` gives totals the
    size that they have under traffic.
    """

    def __init__(
        self,
        stack: ExitStack,
        size: int,
        account_count: int = 140,
        domain_count: int = len(DOMAINS),
    ):
        self.errors: list[BaseException] = []
        self.loop = Loop(ManualClock(), self.errors.append)
        stack.callback(self.loop.close)
        descriptor = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, descriptor)
        self.log = EventLog(self.loop, "exchange", descriptor)
        stack.callback(self.log.close)
        self.datagrams = MemoryDatagrams(self.loop)
        self.fleet_by_name: dict[str, Fleet] = {}
        self.services_by_name: dict[str, Services] = {}
        self.accounts = [build_account(f"account-{n}") for n in range(account_count)]
        self.stack = stack
        # Names of the instances that would have read the store.
        self.store_readers: list[str] = []
        names = [f"{DOMAINS[n % domain_count]}-{n:03}" for n in range(size)]
        self.member_by_name = {
            name: build_member(
                name,
                name.partition("-")[0],
                address=f"{name}:1",
                document_address=f"{name}:2",
            )
            for name in names
        }
        self.leader_name = names[0]
        for number, name in enumerate(names):
            # Instances do not send their rounds at the same moment.
            start = timedelta(milliseconds=200) * number / size
            self.loop.call_later(start, partial(self._add, name))
        self.loop.call_later(timedelta(milliseconds=250), self._read_store)

    def _add(self, name: str) -> None:
        member = self.member_by_name[name]
        settings = SETTINGS._replace(name=name, domain=member.domain)
        network = MemoryNetwork(self.loop)
        services = Services(self.loop, network, settings, self.log, Metrics())
        fleet = Fleet(
            services,
            member,
            lambda on_datagram: MemoryEndpoint(
                self.datagrams, name, on_datagram, self.stack
            ),
            Copier(
                lambda: self.store_readers.append(name),
                lambda *_: None,
                lambda *_: None,
            ),
        )
        self.fleet_by_name[name], self.services_by_name[name] = fleet, services
        fleet.is_leader = name == self.leader_name
        fleet.set_keys(KEYS)
        fleet.update_directory(make_directory(self.loop.now(), {}, self.member_by_name))
        self.loop.supervise(fleet.run)

    def _read_store(self) -> None:
        now = self.loop.now()
        if self.leader_name not in self.datagrams.frozen:
            self.services_by_name[self.leader_name].store_freshness.record_read(now)
        self.loop.call_later(STORE_READ_INTERVAL, self._read_store)

    def run(self, duration: timedelta) -> None:
        run_for(self.loop, duration)

    def admit_everywhere(self) -> None:
        """Let every instance admit an operation of every account."""
        for services in self.services_by_name.values():
            for account in self.accounts:
                services.limiter.record_demand(account, self.loop.now())
                services.limiter.try_admit(account, self.loop.now())

    def remove(self, name: str) -> None:
        """Lose an instance for good; the others do not know it yet."""
        self.datagrams.freeze(name)
        self.fleet_by_name.pop(name).close()
        del self.services_by_name[name]

    def delist(self, name: str) -> None:
        """Let the others learn, one after the other, that an instance is gone."""
        del self.member_by_name[name]
        for number, fleet in enumerate(self.fleet_by_name.values()):
            delay = timedelta(milliseconds=900) * number / len(self.fleet_by_name)
            self.loop.call_later(delay, partial(self._list_members, fleet))

    def _list_members(self, fleet: Fleet) -> None:
        members = dict(self.member_by_name)
        fleet.update_directory(make_directory(self.loop.now(), {}, members))

    def set_leader(self, name: str) -> None:
        """Let another instance be the leader."""
        self.fleet_by_name[self.leader_name].is_leader = False
        self.fleet_by_name[name].is_leader = True
        self.leader_name = name

    def delays_until_counted(self, account: str, admitted: int) -> list[timedelta]:
        """Return by instance how long it takes until it counts ``admitted`` operations.

        An instance that needs more than 3 s counts as 3 s.
        """
        start, step = self.loop.now(), timedelta(milliseconds=20)
        delays: dict[str, timedelta] = {}
        while self.loop.now() - start < timedelta(seconds=3):
            self.run(step)
            now = self.loop.now()
            for name, services in self.services_by_name.items():
                counted = services.limiter.admitted(account, now)
                if counted >= admitted * 0.98:
                    delays.setdefault(name, now - start)
            if len(delays) == len(self.services_by_name):
                break
        missing = len(self.services_by_name) - len(delays)
        return [*delays.values(), *[timedelta(seconds=3)] * missing]

    def store_ages(self) -> dict[str, timedelta]:
        """Return by instance the age of the store read that it relies on."""
        now = self.loop.now()
        return {
            name: services.store_freshness.age(now)
            for name, services in self.services_by_name.items()
            if name not in self.datagrams.frozen
        }

    def sent(self) -> tuple[list[int], list[int]]:
        """Return the numbers of datagrams and of bytes sent, by instance."""
        fleets = self.fleet_by_name.values()
        return [f.sent_count for f in fleets], [f.sent_bytes for f in fleets]
