"""An instance that is stopped under load cuts requests that a server runs."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from world import BOUNDS, Broken, Client, Instance, World, run_case  # noqa: E402

INSTANCES = (("north-1", "north"), ("south-1", "south"), ("west-1", "west"))
SESSIONS = 30
LOSS_SLACK_S = 0.2
# The work of catalogue-view: a mean of 40 ms, at most 300 ms.
MEAN_WORK_S = 0.04
MAX_WORK_S = 0.3


class Load:
    """Pooled sessions of one account, each with one read after the other."""

    def __init__(self, world: World):
        self.world = world
        self.sent_at: dict[str, float] = {}
        self.unanswered: dict[str, float] = {}
        self.answered = 0
        self.is_over = False

    async def read(self, instances: list[Instance]) -> None:
        """Use the first instance; after a close in state I, the next one."""
        position = 0
        while not self.is_over:
            client = Client(self.world, instances[position % len(instances)])
            position += 1
            try:
                await client.open("catalogue")
                await self._read_in(client)
            except Broken:
                await asyncio.sleep(0.05)
            finally:
                client.close()

    async def _read_in(self, client: Client) -> None:
        while not self.is_over:
            request_id = f"{client.name}-{len(self.sent_at)}"
            if client.reader.at_eof():
                # Closed while no request was outstanding.
                return
            self.sent_at[request_id] = time.monotonic()
            try:
                await client.query(f"READ {random.randrange(2000)}", request_id)
            except Broken:
                self.unanswered[request_id] = time.monotonic()
                raise
            self.answered += 1


async def main(world: World, with_trouble: bool) -> bool:
    """Return whether requests that were passed on are cut by the planned stop."""
    await world.start(INSTANCES)
    chooser = random.Random(7)
    for server in world.group.server_by_id.values():
        server.work_by_text = lambda _: min(
            MAX_WORK_S, chooser.lognormvariate(-0.25, 0.7) * MEAN_WORK_S
        )
    # The limiter of a new instance reserves a part of the rate for one window.
    await asyncio.sleep(6)
    load = Load(world)
    stopped = world.instances[0]
    tasks = [asyncio.ensure_future(load.read(world.instances)) for _ in range(SESSIONS)]
    await asyncio.sleep(4)
    stopped_at = time.monotonic()
    if with_trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(BOUNDS["GraceS"])
    if with_trouble:
        stopped.signal(signal.SIGKILL)
    await asyncio.sleep(1)
    load.is_over = True
    await asyncio.gather(*tasks, return_exceptions=True)
    cut = []
    for request_id, cut_at in load.unanswered.items():
        sent_after = load.sent_at[request_id] - stopped_at
        arrived_at = world.group.arrived_at.get(request_id)
        if arrived_at is None or not 3.0 < sent_after < BOUNDS["GraceS"]:
            continue
        cut.append(request_id)
        world.record.write(
            f"LOST: {request_id} was sent {sent_after:.3f} s after the SIGTERM, "
            f"arrived at a server {arrived_at - load.sent_at[request_id]:.3f} s later, "
            f"and its connection ended without an answer at "
            f"{cut_at - stopped_at:.3f} s"
        )
    world.record.write(
        f"{load.answered} requests answered, {len(load.unanswered)} connections ended "
        f"without an answer, {len(cut)} of these count"
    )
    return bool(cut)


if __name__ == "__main__":
    sys.exit(run_case(HERE, main))
