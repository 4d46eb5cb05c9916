"""Machines of one zone are replaced again and again, at times also the one that leads."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

QUEUE = harness.Queue("r1", "/jobs1/", "key-t1")
CONFIG = harness.make_config(
    [{"name": "r1", "path-prefix": "/jobs1/", "backend": "pool1"}], [{"name": "pool1"}]
)
JOB = {
    "spec": "plain",
    "steps": [{"count": 2, "cpu": 500, "mem-mb": 64, "est-ms": 300, "work-ms": 300}],
}
# 7 machines in 3 zones; each new machine of a zone gets the next number.
NAMES = tuple(f"front-z{zone}-{n}" for zone, n in ((1, 1), (1, 2), (1, 3), (2, 1), (2, 2), (3, 1), (3, 2)))
REPLACED_COUNT = 24
AT_ONCE_COUNT = 2
NEW_AFTER_S = 2.0
FINISH_S = 14
ASK_FOR_S = 14


async def replace(world: harness.World, old: list[harness.Node], number: int) -> int:
    """Remove machines for good; others come at new addresses. Return the next free number."""
    for node in old:
        await node.remove()
    await asyncio.sleep(NEW_AFTER_S)
    new = []
    for node in old:
        zone = node.name.split("-")[1]
        name = f"front-{zone}-{number}" if zone == "z1" else f"front-{zone}-{number + 50}"
        new.append(harness.Node(world, name, zone))
        number += zone == "z1"
        world.nodes.append(new[-1])
        await new[-1].start()

    def recorded() -> bool:
        names = {key.split("/")[0] for key in world.store.newest("keyed.candidates")}
        return all(node.name in names for node in new)

    await world.until(recorded, 15, "the new machines take part")
    await asyncio.sleep(0.3)
    return number


async def leads(world: harness.World) -> bool:
    """Return whether the nodes answer questions, for which there has to be a leader."""
    for attempt in range(6):
        node = world.live_nodes[attempt % len(world.live_nodes)]
        path = QUEUE.path + "0" * 16
        status, _ = await world.http("GET", node.front, path, QUEUE.headers)
        if status == 410:
            return True
        await asyncio.sleep(0.5)
    return False


async def case(world: harness.World) -> None:
    await world.open(config=CONFIG, names=NAMES)
    await world.add_workers("pool1", 9)
    await world.wait_ready(QUEUE)
    if world.trouble:
        number = 4
        for _ in range(0, REPLACED_COUNT, AT_ONCE_COUNT):
            old = [node for node in world.nodes if "-z1-" in node.name][:AT_ONCE_COUNT]
            number = await replace(world, old, number)
        if await leads(world):
            leader = await world.leader()
            world.record("the leader's machine is lost", node=leader.name)
            await replace(world, [leader], number)
    job = harness.new_id()
    accepted_at = await world.submit(QUEUE, job, JOB)
    # finish_s after the last traffic, jobs are asked for.
    phase, asked = "", 0
    while world.now < accepted_at + FINISH_S + ASK_FOR_S:
        phase = await world.phase(QUEUE, job)
        asked += world.now > accepted_at + FINISH_S
        if phase == "completed":
            break
        await asyncio.sleep(0.5)
    world.record("at the end", phase=phase, machines=[node.name for node in world.live_nodes])
    if phase != "completed":
        started = [start for start in world.starts if start["task"].startswith(job)]
        world.breach(
            f"LOST: job {job} was accepted {world.now - accepted_at:.0f} s ago; {len(started)} of "
            f"its tasks began, and its phase is {phase!r}: no machine answered {asked} rounds of "
            f"questions from {FINISH_S} s on, with all 7 machines up and undisturbed"
        )


harness.main(__file__, case)
