"""QUOTA: a new leader does not count the runs of a cancelled job that go on at a silent worker.

A worker is cut off and runs on. A job that fills its tenant's cap there is cancelled, and the leader
is stopped as planned. The new leader starts the tenant's next job while all of the first one runs.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import kit2  # noqa: E402

CAP_CPU, TASK_CPU, OVERAGE = 4_000, 1_000, 0.1
FIRST, NEXT = "/holds/00000000000000f1", "/holds/00000000000000f2"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "holds",
            "hostname": kit2.HOST,
            "path-prefix": "/holds/",
            "backend": "svc",
            "max-attempts": 3,
            "stretch": 1.6,
            "target-latency-ms": 600,
        }
    ],
    "services": [{"name": "svc", "admission-check": True}],
    "tenants": [{"name": "shop", "api-keys": ["k1"], "weight": 4, "cap": {"cpu": CAP_CPU}}],
}
JOB = {"spec": "wig", "steps": [{"count": 4, "cpu": TASK_CPU, "mem-mb": 64, "est-ms": 20000}]}


async def play(deployment: kit2.Deployment, trouble: bool) -> bool:
    record, store = deployment.record, deployment.store

    def make_worker(name: str) -> kit2.Worker:
        return kit2.Worker(name, store, record, lambda task: 20.0, lambda task: TASK_CPU)

    path = await deployment.add_worker(make_worker("w-1"), relay=True)
    assert path is not None
    await asyncio.sleep(2)
    leader = deployment.leader
    node = next(node for node in deployment.nodes if node is not leader)
    await deployment.call(node, "POST", FIRST, "k1", JOB)
    await asyncio.sleep(1)
    # Further workers, so that the next job has room elsewhere.
    for number in range(2, 7):
        await deployment.add_worker(make_worker(f"w-{number}"))
    await asyncio.sleep(1)
    await deployment.call(node, "POST", NEXT, "k1", JOB)
    await asyncio.sleep(2)
    if trouble:
        record.add("w-1 is cut off from the entry VMs and runs on")
        path.set_cut(True)
    status, _ = await deployment.call(node, "DELETE", FIRST, "k1")
    if status != 200:
        raise RuntimeError("the cancelling was not acknowledged")
    if trouble:
        await asyncio.sleep(0.2)
        record.add(f"{leader.name}, the leader, is stopped as in roll_term")
        leader.send_signal(signal.SIGTERM)
    await asyncio.sleep(5.2)
    if trouble:
        record.add("w-1 can be reached again")
        path.set_cut(False)
    await asyncio.sleep(2)
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
