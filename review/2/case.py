"""An open transaction commits at a primary that is being replaced."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from world import Broken, Client, Instance, World, is_done, run_case  # noqa: E402

INSTANCES = (
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
    ("west-1", "west"),
)
CUT_S = 4.5
HEALED_S = 4.0
ROUNDS = 5
WRITERS = 4
# A transaction has eleven statements, with this pause before each.
PAUSE_S = 0.4
READS = 8


class Load:
    """Clients that write in transactions, and clients that read."""

    def __init__(self, world: World):
        self.world = world
        self.acknowledged: dict[str, float] = {}
        self.is_over = False

    async def write(self, instance: Instance, number: int) -> None:
        """Run long transactions that write."""
        await asyncio.sleep(number * PAUSE_S * READS / WRITERS)
        while not self.is_over:
            client = Client(self.world, instance)
            try:
                await client.open("orders")
                while not self.is_over:
                    await self._run_transaction(client, number)
            except Broken:
                await asyncio.sleep(0.1)
            finally:
                client.close()

    async def _run_transaction(self, client: Client, number: int) -> None:
        promotions = len(self.world.duties.calls)
        _, lines = await client.query("BEGIN")
        if is_done(lines):
            write_id, lines = await client.query(f"WRITE {number} data")
        for _ in range(READS):
            if not is_done(lines):
                break
            for _ in range(20):
                if len(self.world.duties.calls) == promotions:
                    await asyncio.sleep(PAUSE_S / 20)
            if len(self.world.duties.calls) > promotions:
                # The client ends its transaction in these moments.
                break
            _, lines = await client.query(f"READ {number}")
        if not is_done(lines):
            await client.query("ROLLBACK")
            await asyncio.sleep(0.1)
            return
        _, lines = await client.query("COMMIT")
        if is_done(lines):
            self.acknowledged[write_id] = time.monotonic()

    async def read(self, instance: Instance) -> None:
        """Run single reads at the primary, in short sessions."""
        while not self.is_over:
            client = Client(self.world, instance)
            try:
                await client.open("orders")
                await client.query("READ 1")
            except Broken:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.1)


async def main(world: World, with_trouble: bool) -> bool:
    """Return whether an acknowledged commit is lost."""
    await world.start(INSTANCES)
    await asyncio.sleep(2)
    leader = world.leader()
    others = [i for i in world.instances if i is not leader]
    # Three of five instances lose the primary (0.6), one of five the replica (0.2).
    apart = [leader, *_of_other_zones(others, leader)]
    served = [i for i in world.instances if i not in apart]
    load = Load(world)
    tasks = [
        asyncio.ensure_future(load.write(served[number % len(served)], number))
        for number in range(WRITERS)
    ]
    tasks += [asyncio.ensure_future(load.read(i)) for i in world.instances]
    await asyncio.sleep(4)
    lost: list[str] = []
    for _ in range(ROUNDS):
        await _cut(world, {i.name for i in apart}, with_trouble)
        lost = _lost(world, load)
        if lost:
            break
    load.is_over = True
    await asyncio.gather(*tasks, return_exceptions=True)
    world.record.write(
        f"{len(load.acknowledged)} transactions acknowledged, {len(lost)} lost, "
        f"promotions {[server for _, server in world.group.promoted_at]}"
    )
    return bool(lost)


async def _cut(world: World, apart: set[str], with_trouble: bool) -> None:
    """Cut the primary from three instances and a replica from the leader."""
    primary = world.group.primary()
    replicas = [s for s in world.group.server_by_id.values() if s is not primary]
    if with_trouble:
        replicas[-1].cut_with_resets({world.leader_name()})
        primary.cut_with_resets(apart)
    await asyncio.sleep(CUT_S)
    if with_trouble:
        primary.cut_with_resets(set())
        replicas[-1].cut_with_resets(set())
    await asyncio.sleep(HEALED_S)


def _lost(world: World, load: Load) -> list[str]:
    """Return the acknowledged writes that the primary's log lacks."""
    kept = {w for c in world.group.primary().log for w in c.writes}
    lost = [w for w in load.acknowledged if w not in kept]
    for write_id in lost:
        at = load.acknowledged[write_id]
        after = min((at - p for p, _ in world.group.promoted_at), key=abs)
        world.record.write(
            f"LOST: {write_id} was acknowledged {after:+.3f} s from the promotion "
            f"and is not in the log of {world.group.primary().server_id}"
        )
    return lost


def _of_other_zones(others: list[Instance], leader: Instance) -> list[Instance]:
    """Return two instances, of two zones that are not the leader's where possible."""
    chosen: list[Instance] = []
    for instance in others:
        zones = {leader.zone, *(i.zone for i in chosen)}
        if instance.zone not in zones:
            chosen.append(instance)
    return chosen[:2]


if __name__ == "__main__":
    sys.exit(run_case(HERE, main))
