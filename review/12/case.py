"""A worker with part of a wide, checkpointing step is emptied: the record of the step's state."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from scene3 import (
    BROKEN,
    COULD_NOT_RUN,
    FINISH_S,
    HELD,
    TROUBLE,
    open_scene,
    run_case,
)  # noqa: E402

WIDE_ID = "00000000000f0001"
TASK_COUNT, SAVED_CHARS, TASK_CPU, TASK_MS = 300, 1_000, 100, 90_000
DRAIN_AT_S, DRAIN_MS, TRAFFIC_S = 4.0, 2.0, 14.0
SMALL_SPEC = json.dumps({"ms": 300, "cpu": 500})
WIDE_SPEC = json.dumps({"ms": TASK_MS, "cpu": TASK_CPU, "saves": SAVED_CHARS})


async def drain_a_worker(scene):
    """Empty one worker, as its machine is taken away; it leaves when its runs are gone."""
    await asyncio.sleep(DRAIN_AT_S)
    worker = max(scene.workers, key=lambda worker: len(worker.runs))
    worker.drain()
    await asyncio.sleep(DRAIN_MS)
    for _ in range(40):
        if not worker.used_cpu():
            break
        await asyncio.sleep(0.25)
    await worker.leave()


async def send_small_jobs(scene):
    accepted = []
    for number in range(int(TRAFFIC_S)):
        job_id = f"{number:016x}"
        steps = [{"count": 4, "cpu": 500, "mem-mb": 256, "est-ms": 300}]
        if await scene.submit(job_id, SMALL_SPEC, steps) == 200:
            accepted.append(job_id)
        await asyncio.sleep(1.0)
    return accepted


async def play(record, folder):
    async with open_scene(record, folder) as scene:
        await scene.settle()
        step = {"count": TASK_COUNT, "cpu": TASK_CPU, "mem-mb": 64, "est-ms": TASK_MS}
        status = await scene.submit(WIDE_ID, WIDE_SPEC, [step | {"checkpointing": True}])
        await asyncio.sleep(3.0)
        at_work = sum(len(worker.runs) for worker in scene.workers)
        record("wide step at work", runs=at_work)
        if status != 200 or at_work < TASK_COUNT:
            return COULD_NOT_RUN
        work = [send_small_jobs(scene)]
        if TROUBLE:
            work.append(drain_a_worker(scene))
        accepted, *_ = await asyncio.gather(*work)
        await asyncio.sleep(FINISH_S)
        # For 3 s a job has nothing running though its turn has come and there is room.
        idle = set(accepted)
        for _ in range(12):
            await asyncio.sleep(0.25)
            running = {task[:16] for worker in scene.workers for task in worker.runs}
            used = sum(worker.used_cpu() for worker in scene.workers)
            idle -= running
        ended = 0
        for job_id in accepted:
            status, phase = await scene.ask(job_id)
            if status == 200 and phase == "completed":
                ended += 1
                idle.discard(job_id)
        wide_runs = sum(
            task.startswith(WIDE_ID) for worker in scene.workers for task in worker.runs
        )
        record(
            "verdict",
            accepted=len(accepted),
            completed=ended,
            lost=sorted(idle),
            wide_tasks=TASK_COUNT,
            wide_tasks_at_work=wide_runs,
            used_millicores=used,
            own_ends=sum(machine.own_end_count for machine in scene.machines),
        )
        return BROKEN if idle else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
