"""LOST: an entry VM that shuts down as planned breaks off queries that it has read.

Two entry VMs get SIGTERM one after the other, the leader last. In its last moments the first one
waits for the new leader with queries that it has read, and ends without an answer to them.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import kit2  # noqa: E402

SLACK_S = 0.2
GAP_S = 1.7
CLIENT_COUNT, PERIOD_S = 120, 4.0
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
    "tenants": [{"name": "shop", "api-keys": ["k1"], "weight": 4, "cap": {"cpu": 0}}],
}
STEP = {"count": 1, "cpu": 100, "mem-mb": 64, "long-running": True}
JOB_ID = "00000000000000c1"
REQUEST = (
    f"GET /holds/{JOB_ID} HTTP/1.1\r\nHost: {kit2.HOST}\r\nApi-Key: k1\r\nDeadline-Ms: 3000\r\n\r\n"
).encode()


class Caller:
    """A client that asks for its job's state every four seconds over the connection it has open."""

    def __init__(self, number: int) -> None:
        self.number = number
        # Time sent, time of the answer or of the connection's end, status; 0 for no answer.
        self.answers: list[tuple[float, float, int]] = []
        self._connection: Any = None

    async def run(self, node: kit2.Node) -> None:
        await self._ask(node)
        await asyncio.sleep(PERIOD_S * self.number / CLIENT_COUNT)
        while True:
            await self._ask(node)
            await asyncio.sleep(PERIOD_S)

    async def _ask(self, node: kit2.Node) -> None:
        if self._connection is None:
            try:
                host, _, port = node.front.rpartition(":")
                self._connection = await asyncio.open_connection(host, int(port))
            except OSError:
                # The platform sends new connections to another entry VM by then.
                return
        reader, writer = self._connection
        sent_s, status, closes = kit2.now_s(), 0, True
        try:
            writer.write(REQUEST)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            fields = head.decode().lower().split("\r\n")
            size = next(int(f[15:]) for f in fields if f.startswith("content-length:"))
            await reader.readexactly(size)
            status, closes = int(fields[0].split()[1]), "connection: close" in fields
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.answers.append((sent_s, kit2.now_s(), status))
        if closes:
            writer.close()
            self._connection = None


async def play(deployment: kit2.Deployment, trouble: bool) -> bool:
    record = deployment.record
    worker = kit2.Worker(
        "w-1", deployment.store, record, lambda task: float("inf"), lambda task: 100
    )
    await deployment.add_worker(worker)
    await asyncio.sleep(2)
    leader = deployment.leader
    node, second = [node for node in deployment.nodes if node is not leader][:2]
    job = {"spec": "wig", "steps": [STEP]}
    await deployment.call(node, "POST", f"/holds/{JOB_ID}", "k1", job)
    callers = [Caller(number) for number in range(CLIENT_COUNT)]
    tasks = [asyncio.create_task(caller.run(node)) for caller in callers]
    await asyncio.sleep(6)
    term_s = kit2.now_s()
    if trouble:
        for stopped in (node, second, leader):
            stopped.send_signal(signal.SIGTERM)
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(4)
    for task in tasks:
        task.cancel()
    return is_broken(deployment, callers, term_s)


def is_broken(deployment: kit2.Deployment, callers: list[Caller], term_s: float) -> bool:
    """Check that no query is broken off later than slack-ms after it was sent."""
    broken = False
    for sent_s, end_s, status in sorted(a for c in callers for a in c.answers):
        held_ms = round((end_s - sent_s) * 1_000)
        what = f"{status} after" if status else "no answer, connection ended after"
        deployment.record.add(f"client: GET {JOB_ID}: {what} {held_ms} ms", sent_s)
        if not status and end_s > sent_s + SLACK_S:
            broken = True
            after_ms = round((sent_s - term_s) * 1_000)
            text = f"LOST: sent {after_ms} ms after SIGTERM, broken off {held_ms} ms later"
            deployment.record.add(text, sent_s)
    return broken


if __name__ == "__main__":
    kit2.main(CASE, 5, CONFIG, play)
