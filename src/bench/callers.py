"""Callers that submit jobs and record the replies."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
from attrs import Factory, define, field

from tarragoncart import defaults
from tarragoncart.client import Client, EntryUnreachableError, Result
from tarragoncart.model import FleetConfig, Mode, Outcome, QueueSpec, digest_key

from .processes import HistoryWriter


def echo_of(answer: Any) -> Any:
    """Return the payload token echoed in an answer, None if there is none."""
    return answer.get("echo") if isinstance(answer, dict) else None


@define
class Caller:
    """A client account that submits jobs of its team concurrently.

    :param key: the team's key; not recorded for jobs of open queues, which need none.
    :param run_ms: mean run time of the jobs.
    :param entry_names: names of the entry VMs by address, for the history.
    :param own_ids_ratio: share of the guarded jobs that are submitted under request IDs chosen by
        the caller; some of them to two entry VMs at once, with equal or different bodies.
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
    entry_names: Mapping[str, str] = Factory(dict)
    own_ids_ratio: float = 0.0
    accepted: dict[str, str] = field(init=False, factory=dict)
    _payload_count: int = field(init=False, default=0)

    async def run(self, job_count: int, rate_per_s: float) -> None:
        """Submit jobs at random times with the given mean rate and wait for all replies."""
        async with self._client() as client, asyncio.TaskGroup() as group:
            for _ in range(job_count):
                group.create_task(self.submit(client, self.rng.choice(self.config.queues)))
                await asyncio.sleep(self.rng.expovariate(rate_per_s))

    def _client(self) -> Client:
        return Client(self.addresses, self.key, self._record, self.source_address, self.rng)

    async def submit(self, client: Client, queue: QueueSpec) -> Result | None:
        """Submit one job and return its result.

        Returns None if no entry VM was reachable or the caller chose the request ID.
        """
        if queue.guarded and self.rng.random() < self.own_ids_ratio:
            await self.submit_with_own_id(client, queue)
            return None
        payload = self._payload()
        token, note = payload["echo"], self._submission_fields(queue, payload)
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

    def _payload(self) -> dict[str, Any]:
        self._payload_count += 1
        run_ms = self.rng.expovariate(1 / self.run_ms)
        return {"run_ms": run_ms, "echo": f"{self.name}-{self._payload_count}"}

    def _submission_fields(self, queue: QueueSpec, payload: dict[str, Any]) -> dict[str, Any]:
        return {
            "queue": queue.name,
            "team": "" if queue.open_to_all else self.team,
            "key_id": "" if queue.open_to_all else digest_key(self.key),
            "guarded": queue.guarded,
            "mode": str(queue.mode),
            "payload_token": payload["echo"],
        }

    async def submit_with_own_id(self, client: Client, queue: QueueSpec) -> None:
        """Submit a job under a request ID chosen by the caller, to one or two entry VMs at once."""
        request_id = f"own-{self.name}-{self.rng.getrandbits(64):016x}"
        first = self._payload()
        second = self._payload() if self.rng.random() < 0.3 else first
        payloads = [first, second][: self.rng.choice((1, 2))]
        addresses = self.rng.sample(list(self.addresses), min(len(payloads), len(self.addresses)))
        posts = [
            self._post(request_id, queue, payload, address)
            for payload, address in zip(payloads, addresses, strict=False)
        ]
        outcomes = await asyncio.gather(*posts)
        if None in outcomes or Outcome.OUTCOME_UNKNOWN in outcomes:
            outcomes.append((await client.find(request_id, wait_ms=self.deadline_ms)).outcome)
        if queue.mode is Mode.DEFERRED and Outcome.ACCEPTED in outcomes:
            self.accepted[request_id] = first["echo"]

    async def _post(
        self, request_id: str, queue: QueueSpec, payload: dict[str, Any], address: str
    ) -> Outcome | None:
        entry = self.entry_names.get(address, address)
        note = {**self._submission_fields(queue, payload), "request_id": request_id, "entry": entry}
        self.history.write("submit", **note)
        body = {
            "request_id": request_id,
            "payload": payload,
            "deadline_ms": self.deadline_ms,
            "declared_run_ms": self.run_ms,
        }
        timeout = aiohttp.ClientTimeout(
            total=(self.deadline_ms + defaults.PEER_TIMEOUT_MS * 2) / 1_000,
            sock_connect=defaults.CONNECT_TIMEOUT_MS / 1_000,
        )
        url = f"http://{address}/v1/queues/{queue.name}/jobs"
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            async with (
                aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
                session.post(url, json=body) as response,
            ):
                data, status = await response.json(), response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self.history.write("not_sent", request_id=request_id, entry=entry)
            return None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            self.history.write("connection_lost", request_id=request_id, entry=entry, sent=True)
            return None
        self.history.write(
            "reply",
            request_id=request_id,
            outcome=data["outcome"],
            status=status,
            code=data.get("error", {}).get("code", ""),
            echo=echo_of(data.get("answer")),
            truncated=False,
            config_version=data.get("config_version"),
            entry=entry,
            payload_token=payload["echo"],
        )
        return Outcome(data["outcome"])

    async def cancel_burst(self, count: int) -> None:
        """Submit jobs of deferred queues at once and cancel each as soon as its reply arrives."""
        async with self._client() as client, asyncio.TaskGroup() as group:
            queues = [queue for queue in self.config.queues if queue.mode is Mode.DEFERRED]
            for _ in range(count):
                group.create_task(self._submit_and_cancel(client, self.rng.choice(queues)))

    async def _submit_and_cancel(self, client: Client, queue: QueueSpec) -> None:
        result = await self.submit(client, queue)
        if result is not None:
            await client.cancel(result.request_id)

    async def collect(self, wait_ms: float) -> None:
        """Query the answers of all accepted deferred jobs.

        :param wait_ms: how long to wait for each answer.
        """
        async with self._client() as client, asyncio.TaskGroup() as group:
            for request_id in self.accepted:
                group.create_task(client.find(request_id, wait_ms=wait_ms))

    def _record(self, event: str, fields: dict[str, Any]) -> None:
        result = fields.pop("result", None)
        if result is None:
            if "entry" in fields:
                fields["entry"] = self.entry_names.get(fields["entry"], fields["entry"])
            # No request was sent over a refused connection, so none was lost.
            refused = event == "connection_lost" and not fields["sent"]
            self.history.write("not_sent" if refused else event, **fields)
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
            entry=self.entry_names.get(result.entry, result.entry),
        )
