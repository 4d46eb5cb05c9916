"""A gang that saves its progress, and a crash of one of its workers."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

QUEUE = harness.Queue("r1", "/gang2/", "key-t1")
CONFIG = harness.make_config(
    [{"name": "r1", "path-prefix": "/gang2/", "backend": "pool1"}], [{"name": "pool1"}]
)
JOB = {
    "spec": "gang",
    "steps": [
        {
            "count": 2,
            "cpu": 9_000,
            "mem-mb": 256,
            "est-ms": 4_000,
            "gang": True,
            "checkpointing": True,
            "work-ms": 4_000,
        }
    ],
}
DOWN_S = 4.3


async def case(world: harness.World) -> None:
    await world.open(config=CONFIG)
    await world.add_workers("pool1", 9)
    await world.wait_ready(QUEUE)
    job = harness.new_id()
    await world.submit(QUEUE, job, JOB)
    await world.until(lambda: len(world.running(job)) == 2, 10, "gang runs")
    calm_from = world.now
    if world.trouble:
        await asyncio.sleep(1.8)
        worker = world.worker_of(f"{job}.0.0.1")
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.restart()
        calm_from = world.now + harness.CONTACT_MS / 1_000
    phase = ""
    end = calm_from + 40
    while world.now < end:
        phase = await world.phase(QUEUE, job, quiet=True)
        if phase == "completed":
            break
        await asyncio.sleep(0.5)
    world.record("phase at the end", phase=phase)
    alone = [e for e in world.ended_runs if e["how"] == "alone"]
    # A run that began after the disruption was over, with contact-ms to spare, and ended `alone`.
    late = [e for e in alone if e["t"] - harness.GANG_MS / 1_000 > calm_from]
    if late:
        world.breach(
            f"GANG: {len(late)} runs ended alone {harness.CONTACT_MS} ms and more after the "
            f"disruption, first {late[0]}; the job's phase is {phase!r}"
        )
    for run in sorted({s["run"] for s in world.starts}):
        values = {s["checkpoint"] for s in world.starts if s["run"] == run}
        world.record("checkpoints of a run of the gang", run=run, values=sorted(values))


harness.main(__file__, case)
