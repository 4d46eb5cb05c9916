"""Large jobs come at once: the memory of the leader, and of each leader after it."""

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

TRAFFIC_S = 12.0
BURST_JOB_COUNT, BURST_AT_S, BURST_S = 11, 4.0, 4.0
SPEC = json.dumps({"ms": 300, "cpu": 500})
TASK = {"cpu": 500, "mem-mb": 256, "est-ms": 300}
# 20,000 tasks: the largest job that the product accepts.
LARGE_STEPS = [TASK | {"count": 2_000} for _ in range(10)]
# The largest job of the site's sheet.
USUAL_STEPS = [TASK | {"count": 32} for _ in range(5)]
SMALL_STEPS = [TASK | {"count": 4}]


async def send_small_jobs(scene, accepted):
    for number in range(int(TRAFFIC_S * 2)):
        job_id = f"{number:016x}"
        if await scene.submit(job_id, SPEC, SMALL_STEPS) == 200:
            accepted.append(job_id)
        await asyncio.sleep(0.5)


async def send_burst(scene, accepted):
    await asyncio.sleep(BURST_AT_S)
    for number in range(BURST_JOB_COUNT):
        job_id = f"{0xF0000 + number:016x}"
        if await scene.submit(job_id, SPEC, LARGE_STEPS if TROUBLE else USUAL_STEPS) == 200:
            accepted.append(job_id)
        await asyncio.sleep(BURST_S / BURST_JOB_COUNT)


async def play(record, folder):
    async with open_scene(record, folder) as scene:
        await scene.settle()
        accepted = []
        await asyncio.gather(send_small_jobs(scene, accepted), send_burst(scene, accepted))
        if len(accepted) < BURST_JOB_COUNT:
            return COULD_NOT_RUN
        await asyncio.sleep(FINISH_S)
        answers = await asyncio.gather(*(scene.ask(job_id) for job_id in accepted))
        for machine in scene.machines:
            record(
                "machine",
                name=machine.name,
                own_ends=machine.own_end_count,
                peak_mb=round(machine.peak_mb),
                limit_mb=machine.memory_mb,
            )
        unanswered = sum(status != 200 for status, _ in answers)
        # LOST: one gets no answer in time. Fault: two machines whose process ended three times.
        ending = sum(machine.own_end_count >= 3 for machine in scene.machines)
        record("verdict", accepted=len(accepted), unanswered=unanswered, machines_ending=ending)
        return BROKEN if unanswered or ending >= 2 else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
