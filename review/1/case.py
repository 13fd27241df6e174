"""After an outage of the store, a replica that lacks acknowledged commits leads."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from world import SERVERS, Broken, Client, Instance, World, is_done, run_case  # noqa: E402

INSTANCES = (
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
    ("west-1", "west"),
)
WRITERS = 10
DRAIN_S = 8.0
DEAF_S = 6.5
OUTAGE_S = 4.5
# When the servers are back in the store after an outage, within two seconds.
FIRST_BACK_S, SECOND_BACK_S, PRIMARY_BACK_S = 0.05, 1.0, 1.15
STEADY_S = 6.0
ROUNDS = 6


class Load:
    """Clients that send single writes."""

    def __init__(self, world: World):
        self.world = world
        self.acknowledged: dict[str, float] = {}
        self.is_over = False

    async def write(self, instance: Instance) -> None:
        """Send a write in each session."""
        while not self.is_over:
            client = Client(self.world, instance)
            try:
                await client.open("orders")
                write_id, lines = await client.query("WRITE 5 data")
                if is_done(lines):
                    self.acknowledged[write_id] = time.monotonic()
            except Broken:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.2)


async def main(world: World, with_trouble: bool) -> bool:
    """Return whether an acknowledged commit is lost."""
    # The new server starts first, then the primary that it replaces drains.
    await world.start(INSTANCES, (*SERVERS, ("i-d4", "north")))
    group = world.group
    await asyncio.sleep(3)
    load = Load(world)
    tasks = [
        asyncio.ensure_future(load.write(world.instances[number % len(INSTANCES)]))
        for number in range(WRITERS)
    ]
    await asyncio.sleep(1)
    leaving = group.server_by_id["i-a1"]
    leaving.is_draining = True
    leaving.heartbeat_if_possible()
    world.record.write("i-a1 drains")
    await asyncio.sleep(DRAIN_S)
    leaving.crash()
    del group.server_by_id["i-a1"]
    world.store.delete("servers/i-a1")
    await asyncio.sleep(2)
    lost: list[str] = []
    for _ in range(ROUNDS):
        await _suffer_outage(world, with_trouble)
        lost = _lost(world, load)
        if lost:
            break
    load.is_over = True
    await asyncio.gather(*tasks, return_exceptions=True)
    world.record.write(
        f"{len(load.acknowledged)} writes acknowledged, {len(lost)} lost, promotions "
        f"{[server for _, server in group.promoted_at]}"
    )
    return bool(lost)


async def _suffer_outage(world: World, with_trouble: bool) -> None:
    """Let a replica receive nothing, and the store be down, for some seconds."""
    group = world.group
    primary = group.primary()
    deaf, other = [s for s in group.server_by_id.values() if s is not primary]
    if with_trouble:
        group.deaf = {deaf.server_id}
        world.record.write(f"{deaf.server_id} receives nothing")
    await asyncio.sleep(DEAF_S - OUTAGE_S - 1)
    if with_trouble:
        world.store.is_down = True
        world.record.write("the store is down")
    await asyncio.sleep(OUTAGE_S)
    world.store.is_down = False
    now = time.monotonic()
    if with_trouble:
        world.record.write("the store is back")
        deaf.next_beat = now + FIRST_BACK_S
        other.next_beat = now + SECOND_BACK_S
        primary.next_beat = now + PRIMARY_BACK_S
    await asyncio.sleep(1)
    group.deaf = set()
    await asyncio.sleep(STEADY_S)


def _lost(world: World, load: Load) -> list[str]:
    """Return the acknowledged writes that the primary's log lacks."""
    kept = {w for c in world.group.primary().log for w in c.writes}
    lost = [w for w in load.acknowledged if w not in kept]
    for write_id in lost:
        before = world.group.promoted_at[-1][0] - load.acknowledged[write_id]
        world.record.write(
            f"LOST: {write_id} was acknowledged {before:.3f} s before the promotion "
            f"and is not in the log of {world.group.primary().server_id}"
        )
    return lost


if __name__ == "__main__":
    sys.exit(run_case(HERE, main))
