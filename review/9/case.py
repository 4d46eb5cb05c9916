"""QUOTA: a new leader starts a tenant's first step without looking at the tenant's cap.

A tenant hands in a scheduled job that is due once, some seconds later. The leader is stopped as
planned before the job is due. The new leader starts all of its tasks at once.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import kit2  # noqa: E402

CAP_CPU, TASK_CPU, OVERAGE = 4_000, 1_000, 0.1
JOB = "/holds/00000000000000a1"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "holds",
            "hostname": kit2.HOST,
            "path-prefix": "/holds/",
            "backend": "svc",
            "priority-class": 0,
            "max-attempts": 3,
            "stretch": 1.6,
            "target-latency-ms": 600,
        }
    ],
    "services": [{"name": "svc", "admission-check": True}],
    "tenants": [{"name": "shop", "api-keys": ["k1"], "weight": 4, "cap": {"cpu": CAP_CPU}}],
    "limits": {"max-body-bytes": 262144},
}


def scheduled_job(first_ms: int) -> dict[str, object]:
    """A job of 12 tasks that is due once."""
    step = {"count": 12, "cpu": TASK_CPU, "mem-mb": 256, "est-ms": 2000}
    return {
        "spec": "wig",
        "steps": [step],
        "times": 1,
        "first-ms": first_ms,
        "interval-ms": 60_000,
    }


async def play(deployment: kit2.Deployment, trouble: bool) -> bool:
    record = deployment.record
    for name in ("w-1", "w-2"):
        worker = kit2.Worker(
            name, deployment.store, record, lambda task: 2.0, lambda task: TASK_CPU
        )
        await deployment.add_worker(worker)
    await asyncio.sleep(2)
    old = deployment.leader
    other = next(node for node in deployment.nodes if node is not old)
    job = scheduled_job(int(time.time() * 1_000) + 6_000)
    status, _ = await deployment.call(other, "POST", JOB, "k1", job)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1)
    if trouble:
        record.add(f"{old.name}, the leader, is stopped and started again as in roll_term")
        old.send_signal(signal.SIGTERM)
        await old.process.wait()
        await old.start()
    await asyncio.sleep(3)
    for _ in range(60):
        await asyncio.sleep(0.25)
        _, answer = await deployment.call(other, "GET", JOB, "k1")
        if isinstance(answer, dict) and answer.get("phase") == "completed":
            break
    return is_broken(deployment)


def is_broken(deployment: kit2.Deployment) -> bool:
    """Check each start: more than cap x (1 + quota-overage) and one task more may not run."""
    events = [(at, 0, -TASK_CPU, "") for w in deployment.workers for at, _, _, _ in w.ended]
    events += [(at, 1, cpu, task) for w in deployment.workers for at, task, _, cpu in w.starts]
    running, broken = 0, False
    for at, _, cpu, task in sorted(events):
        running += cpu
        if cpu > 0 and running > CAP_CPU * (1 + OVERAGE) + TASK_CPU:
            broken = True
            deployment.record.add(
                f"QUOTA: the start of {task} brings the tenant to {running}, cap {CAP_CPU}", at
            )
    return broken


if __name__ == "__main__":
    kit2.main(CASE, 3, CONFIG, play)
