"""Decisions of a worker's guard: leases, fences, and which attempt may start."""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict
from typing import Any

from attrs import define, field, frozen

from .serving import load_chart

CHART = load_chart("task")

# A guard keeps results this long, and at most this many.
RETENTION_MS = 15 * 60 * 1_000
RETENTION_COUNT = 20_000


@frozen
class Work:
    """What a task does when it runs.

    :param run_ms: how long it runs, whatever was declared; infinite if it never ends.
    :param echo: part of the answer's body.
    """

    run_ms: float = 0.0
    fails: bool = False
    echo: Any = None


@frozen
class Attempt:
    """One attempt at a request, as an entry VM sent it."""

    attempt_id: str
    request_id: str
    incarnation: str
    lease_epoch: int
    team: str
    guarded: bool
    work: Work


@frozen
class Result:
    """How an attempt ended; ``digest`` is the SHA-256 of the canonical JSON of ``body``."""

    attempt_id: str
    request_id: str
    status: str
    body: Any
    digest: str


@frozen
class Refusal:
    """An attempt that was not started; ``started`` tells whether an earlier one was."""

    code: str
    started: bool = False


@frozen
class Start:
    """The attempt was entered into the guard and is to be run now."""


@define
class Lease:
    """Lease of an entry incarnation."""

    epoch: int
    expires_at_ms: float


@define
class GuardEntry:
    """What the guard keeps for a request ID."""

    state: str = CHART.initial
    attempt: Attempt | None = None
    result: Result | None = None
    started_at_ms: float = 0.0
    ended_at_ms: float = 0.0


@define
class Guard:
    """The guard of one worker between two reboots.

    :param epoch_floor: every epoch that is granted is higher.
    :param lease_ms: duration of a lease.
    """

    slot_count: int
    lease_ms: float
    epoch_floor: int
    leases: dict[str, Lease] = field(factory=dict)
    fenced_incarnations: set[str] = field(factory=set)
    running: dict[str, GuardEntry] = field(factory=dict)
    # Entries that have ended, oldest first.
    ended: OrderedDict[str, GuardEntry] = field(factory=OrderedDict)
    # Fenced request IDs, oldest first. They outlive the results, because a fence that ends lets
    # a delayed attempt start.
    fenced_requests: OrderedDict[str, None] = field(factory=OrderedDict)

    def grant_lease(self, incarnation: str, now_ms: float) -> Lease | Refusal:
        """Grant or renew a lease."""
        if incarnation in self.fenced_incarnations:
            return Refusal("fenced")
        lease = self.leases.get(incarnation)
        if lease is None:
            lease = self.leases[incarnation] = Lease(self.epoch_floor + 1, 0.0)
        elif lease.expires_at_ms <= now_ms:
            lease.epoch += 1
        lease.expires_at_ms = now_ms + self.lease_ms
        return lease

    @property
    def highest_epoch(self) -> int:
        """The highest epoch granted so far."""
        return max((lease.epoch for lease in self.leases.values()), default=self.epoch_floor)

    def admit(
        self, attempt: Attempt, now_ms: float, *, leaving: bool, no_capacity: bool = False
    ) -> Start | Refusal | Result:
        """Decide on an attempt; an attempt that may start is in the table on return.

        An earlier start of the same request ID is looked up first, so that for guarded requests
        a refusal with ``started`` false is true for the ID and not only for this attempt.

        :param no_capacity: refuse as if no slot were free.
        """
        self.expire(now_ms)
        entry = self.find(attempt.request_id)
        known = self._known(entry, attempt)
        if known is not None:
            return known
        refusal = self._refusal(attempt, now_ms, leaving, no_capacity)
        if refusal is not None:
            return refusal
        self.ended.pop(attempt.request_id, None)
        entry.state = CHART.step(entry.state, "start").state
        entry.attempt = attempt
        entry.result = None
        entry.started_at_ms = now_ms
        self.running[attempt.request_id] = entry
        return Start()

    def _known(self, entry: GuardEntry, attempt: Attempt) -> Refusal | Result | None:
        if entry.attempt is None:
            return Refusal("fenced") if entry.state == "fenced" else None
        if entry.result is None:
            return Refusal("running", started=True)
        guarded = entry.attempt.guarded or attempt.guarded
        fenced = attempt.request_id in self.fenced_requests
        if guarded or fenced or not CHART.accepts(entry.state, "start"):
            return entry.result
        return None

    def _refusal(
        self, attempt: Attempt, now_ms: float, leaving: bool, no_capacity: bool
    ) -> Refusal | None:
        lease = self.leases.get(attempt.incarnation)
        if attempt.incarnation in self.fenced_incarnations:
            return Refusal("fenced")
        if lease is None or lease.epoch != attempt.lease_epoch or lease.expires_at_ms <= now_ms:
            return Refusal("stale_lease")
        if leaving:
            return Refusal("leaving")
        if no_capacity or len(self.running) >= self.slot_count:
            return Refusal("busy")
        return None

    def end(self, request_id: str, event: str, body: Any, now_ms: float) -> tuple[str, ...]:
        """Record the end of a running attempt and return the actions of the chart.

        :param event: ``complete``, ``fail`` or ``stop``.
        """
        entry = self.running.pop(request_id)
        step = CHART.step(entry.state, event)
        assert entry.attempt is not None
        entry.state = step.state
        entry.ended_at_ms = now_ms
        entry.result = Result(
            entry.attempt.attempt_id, request_id, step.state, body, digest_body(body)
        )
        self.ended[request_id] = entry
        self.expire(now_ms)
        return step.actions

    def find(self, request_id: str) -> GuardEntry:
        """Return the entry of a request ID; without one, its state is unknown or fenced."""
        entry = self.running.get(request_id) or self.ended.get(request_id)
        if entry is None:
            entry = GuardEntry()
            if request_id in self.fenced_requests:
                entry.state = CHART.step(entry.state, "fence").state
        return entry

    def fence_request(self, request_id: str) -> GuardEntry:
        """Keep a request ID from starting later, and return its entry."""
        self.fenced_requests[request_id] = None
        if len(self.fenced_requests) > RETENTION_COUNT:
            self.fenced_requests.popitem(last=False)
        return self.find(request_id)

    def fence_incarnation(self, incarnation: str) -> list[GuardEntry]:
        """Keep everything of an incarnation from starting, and return what runs."""
        self.fenced_incarnations.add(incarnation)
        return [
            entry
            for entry in self.running.values()
            if entry.attempt is not None and entry.attempt.incarnation == incarnation
        ]

    def expire(self, now_ms: float) -> None:
        """Remove entries that are past the retention time or count."""
        while self.ended:
            entry = next(iter(self.ended.values()))
            recent = now_ms - entry.ended_at_ms < RETENTION_MS
            if recent and len(self.ended) <= RETENTION_COUNT:
                return
            self.ended.popitem(last=False)


def digest_body(body: Any) -> str:
    """Return the SHA-256 of the canonical JSON of an answer's body, in hexadecimal."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
