"""Callers that submit jobs and record what they were told."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from attrs import define, field

from tarragoncart.client import Client, EntryUnreachableError, Result
from tarragoncart.model import FleetConfig, Mode, Outcome, QueueSpec, digest_key

from .processes import HistoryWriter


def echo_of(answer: Any) -> Any:
    """Return the payload token that a worker has echoed, None if there is none."""
    return answer.get("echo") if isinstance(answer, dict) else None


@define
class Caller:
    """One account: submits jobs of its team, some at a time.

    :param key: the team's key; open queues are used without it.
    """

    name: str
    team: str
    key: str
    addresses: Sequence[str]
    history: HistoryWriter
    config: FleetConfig
    rng: random.Random
    run_ms: float = 20.0
    deadline_ms: float = 8_000.0
    source_address: str = ""
    accepted: dict[str, str] = field(init=False, factory=dict)
    _number: int = field(init=False, default=0)

    async def run(self, job_count: int, rate_per_s: float) -> None:
        """Submit jobs at random times with the given mean rate and wait for all replies."""
        async with self._client() as client, asyncio.TaskGroup() as group:
            for _ in range(job_count):
                group.create_task(self.submit(client, self.rng.choice(self.config.queues)))
                await asyncio.sleep(self.rng.expovariate(rate_per_s))

    def _client(self) -> Client:
        return Client(self.addresses, self.key, self._record, self.source_address, self.rng)

    async def submit(self, client: Client, queue: QueueSpec) -> Result | None:
        """Submit one job and record what became of it."""
        self._number += 1
        token = f"{self.name}-{self._number}"
        payload = {"run_ms": self.rng.expovariate(1 / self.run_ms), "echo": token}
        note = {
            "queue": queue.name,
            "team": "" if queue.open_to_all else self.team,
            "key_id": "" if queue.open_to_all else digest_key(self.key),
            "guarded": queue.guarded,
            "mode": str(queue.mode),
            "payload_token": token,
        }
        try:
            result = await client.submit(
                queue.name,
                payload,
                deadline_ms=self.deadline_ms,
                declared_run_ms=self.run_ms,
                note=note,
            )
        except EntryUnreachableError:
            return None
        if result.outcome is Outcome.ACCEPTED and queue.mode is Mode.DEFERRED:
            self.accepted[result.request_id] = token
        return result

    async def collect(self, wait_ms: float) -> None:
        """Ask for the answers of accepted deferred jobs."""
        async with self._client() as client, asyncio.TaskGroup() as group:
            for request_id in self.accepted:
                group.create_task(client.find(request_id, wait_ms=wait_ms))

    def _record(self, event: str, fields: dict[str, Any]) -> None:
        result = fields.pop("result", None)
        if result is None:
            self.history.write(event, **fields)
            return
        self.history.write(
            event,
            request_id=result.request_id,
            outcome=str(result.outcome),
            status=result.status,
            code=result.code,
            echo=echo_of(result.answer),
            truncated=False,
            config_version=result.config_version,
            entry=result.entry,
        )
