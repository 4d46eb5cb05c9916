"""UNASKED: a cancellation is lost that the leader reads together with that of a large gang.

Two jobs are cancelled at once: a gang of 220 small tasks, just after it was accepted, and a job
whose tasks last. The leader fails while it withdraws the gang and never handles the other one.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import kit2  # noqa: E402

CANCEL_S, STOP_S = 3.0, kit2.STOP_MS / 1_000
GANG_COUNT, GANG_CPU, LASTING_COUNT, LASTING_CPU = 220, 50, 5, 500
GANG_JOB_COUNT, LASTING_JOB_COUNT, ROUNDS = 4, 4, 8
AFTER_ACK_S = 0.02


def route(name: str, prefix: str) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": kit2.HOST,
        "path-prefix": prefix,
        "backend": "svc",
        "priority-class": 0,
        "max-attempts": 3,
        "stretch": 1.6,
        "target-latency-ms": 600,
    }


CONFIG = {
    "version": 3,
    "routes": [route("span", "/span/"), route("pack", "/pack/")],
    "services": [{"name": "svc", "admission-check": True}],
    "tenants": [
        {"name": "kol", "api-keys": ["k1"], "weight": 4, "cap": {"cpu": 0}},
        {"name": "how", "api-keys": ["k2"], "weight": 4, "cap": {"cpu": 0}},
    ],
}
GANG = {
    "spec": "span",
    "steps": [{"count": GANG_COUNT, "cpu": GANG_CPU, "mem-mb": 64, "est-ms": 1000, "gang": True}],
}
LASTING = {
    "spec": "pack",
    "steps": [{"count": LASTING_COUNT, "cpu": LASTING_CPU, "mem-mb": 256, "long-running": True}],
}


async def play(deployment: kit2.Deployment, trouble: bool) -> bool:
    record, store = deployment.record, deployment.store

    def lasts(task: str) -> bool:
        return task.startswith("bb")

    for number in range(6):
        worker = kit2.Worker(
            f"w-{number + 1}",
            store,
            record,
            lambda task: float("inf") if lasts(task) else 1.0,
            lambda task: LASTING_CPU if lasts(task) else GANG_CPU,
        )
        await deployment.add_worker(worker)
    await asyncio.sleep(2)
    node = next(node for node in deployment.nodes if node is not deployment.leader)
    cancelled: dict[str, float] = {}

    async def cancel(path: str, key: str) -> None:
        status, _ = await deployment.call(node, "DELETE", path, key)
        if status == 200:
            cancelled[path.rsplit("/", 1)[1]] = kit2.now_s()

    for number in range(ROUNDS):
        gangs = [f"aa{number:08x}{index:06x}" for index in range(GANG_JOB_COUNT)]
        lasting = [f"bb{number:08x}{index:06x}" for index in range(LASTING_JOB_COUNT)]
        for job_id in lasting:
            await deployment.call(node, "POST", f"/pack/{job_id}", "k2", LASTING)
        await asyncio.sleep(1)
        submitted = [deployment.call(node, "POST", f"/span/{g}", "k1", GANG) for g in gangs]
        if any(status != 200 for status, _ in await asyncio.gather(*submitted)):
            raise RuntimeError("a gang was not accepted")
        await asyncio.sleep(AFTER_ACK_S)
        calls = [cancel(f"/span/{g}", "k1") for g in gangs] if trouble else []
        calls += [cancel(f"/pack/{job_id}", "k2") for job_id in lasting]
        await asyncio.gather(*calls)
        await asyncio.sleep(3)
    await asyncio.sleep(CANCEL_S + STOP_S + 1)
    return is_broken(deployment, cancelled)


def is_broken(deployment: kit2.Deployment, cancelled: dict[str, float]) -> bool:
    """Check that no task of a cancelled job runs cancel_ms + stop-ms after the acknowledgement."""
    broken = False
    for worker in deployment.workers:
        for task in worker.runs:
            at_s = cancelled.get(task.split(".")[0])
            if at_s is not None and kit2.now_s() > at_s + CANCEL_S + STOP_S:
                broken = True
                deployment.record.add(
                    f"UNASKED: {task} runs on {worker.worker_id}"
                    f" {kit2.now_s() - at_s:.1f} s after its job's cancelling was acknowledged"
                )
    return broken


if __name__ == "__main__":
    kit2.main(CASE, 3, CONFIG, play)
