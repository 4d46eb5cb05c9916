"""Guard of a worker: leases, fences, and the decision whether an attempt may start."""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict
from typing import Any

from attrs import define, field, frozen

from .serving import load_chart

CHART = load_chart("task")

# Limits on the age and number of results that a guard keeps.
RETENTION_MS = 15 * 60 * 1_000
RETENTION_COUNT = 20_000


@frozen
class Work:
    """Simulated work of a task.

    :param run_ms: run time in ms, which may differ from the declared one; infinite if the task
        never ends.
    :param fails: whether the task ends as failed.
    :param echo: value that the response body repeats.
    """

    run_ms: float = 0.0
    fails: bool = False
    echo: Any = None


@frozen
class Attempt:
    """One attempt at a request, as received from an entry VM."""

    attempt_id: str
    request_id: str
    incarnation: str
    lease_epoch: int
    team: str
    guarded: bool
    work: Work


@frozen
class Result:
    """Outcome of an ended attempt.

    :param digest: SHA-256 of the canonical JSON of ``body``, in hexadecimal.
    """

    attempt_id: str
    request_id: str
    status: str
    body: Any
    digest: str


@frozen
class Refusal:
    """Refusal to start an attempt.

    :param started: whether an earlier attempt at the same request was started.
    """

    code: str
    started: bool = False


@frozen
class Start:
    """Decision to run an attempt, which the guard has recorded as running."""


@define
class Lease:
    """Lease granted to an incarnation of an entry VM."""

    epoch: int
    expires_at_ms: float


@define
class GuardEntry:
    """State of a request ID in the guard."""

    state: str = CHART.initial
    attempt: Attempt | None = None
    result: Result | None = None
    started_at_ms: float = 0.0
    ended_at_ms: float = 0.0


@define
class Guard:
    """Guard of a worker from one boot to the next.

    :param lease_ms: duration of a lease in ms.
    :param epoch_floor: lower bound of the granted epochs, exclusive.
    """

    slot_count: int
    lease_ms: float
    epoch_floor: int
    leases: dict[str, Lease] = field(factory=dict)
    fenced_incarnations: set[str] = field(factory=set)
    running: dict[str, GuardEntry] = field(factory=dict)
    # Entries of ended attempts, oldest first.
    ended: OrderedDict[str, GuardEntry] = field(factory=OrderedDict)
    # Fenced request IDs, oldest first. They are kept longer than the results, because a delayed
    # attempt could start once its fence is dropped.
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
        """The highest epoch granted so far, or the floor if none was granted."""
        return max((lease.epoch for lease in self.leases.values()), default=self.epoch_floor)

    def admit(
        self, attempt: Attempt, now_ms: float, *, leaving: bool, no_capacity: bool = False
    ) -> Start | Refusal | Result:
        """Decide whether an attempt may start, and record it as running if it may.

        Earlier attempts at the same request ID are looked up first. For a guarded request,
        ``started`` false in a refusal therefore means that no attempt at the ID was started.

        :param leaving: whether the worker is being drained or rebooted.
        :param no_capacity: refuse as if no slot were free.
        """
        self.expire(now_ms)
        entry = self.find(attempt.request_id)
        earlier_outcome = self._find_earlier_outcome(entry, attempt)
        if earlier_outcome is not None:
            return earlier_outcome
        refusal = self._check_admission(attempt, now_ms, leaving, no_capacity)
        if refusal is not None:
            return refusal
        self.ended.pop(attempt.request_id, None)
        entry.state = CHART.step(entry.state, "start").state
        entry.attempt = attempt
        entry.result = None
        entry.started_at_ms = now_ms
        self.running[attempt.request_id] = entry
        return Start()

    def _find_earlier_outcome(self, entry: GuardEntry, attempt: Attempt) -> Refusal | Result | None:
        if entry.attempt is None:
            return Refusal("fenced") if entry.state == "fenced" else None
        if entry.result is None:
            return Refusal("running", started=True)
        guarded = entry.attempt.guarded or attempt.guarded
        fenced = attempt.request_id in self.fenced_requests
        if guarded or fenced or not CHART.accepts(entry.state, "start"):
            return entry.result
        return None

    def _check_admission(
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
        """Record the end of a running attempt and return the chart's actions for the event.

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
        """Return the entry of a request ID, or a new one in state ``unknown`` or ``fenced``."""
        entry = self.running.get(request_id) or self.ended.get(request_id)
        if entry is None:
            entry = GuardEntry()
            if request_id in self.fenced_requests:
                entry.state = CHART.step(entry.state, "fence").state
        return entry

    def fence_request(self, request_id: str) -> GuardEntry:
        """Prevent later attempts at a request ID from starting, and return its entry."""
        self.fenced_requests[request_id] = None
        if len(self.fenced_requests) > RETENTION_COUNT:
            self.fenced_requests.popitem(last=False)
        return self.find(request_id)

    def fence_incarnation(self, incarnation: str) -> list[GuardEntry]:
        """Prevent attempts of an incarnation from starting, and return its running entries."""
        self.fenced_incarnations.add(incarnation)
        return [
            entry
            for entry in self.running.values()
            if entry.attempt is not None and entry.attempt.incarnation == incarnation
        ]

    def expire(self, now_ms: float) -> None:
        """Remove ended entries that are beyond the retention time or count."""
        while self.ended:
            entry = next(iter(self.ended.values()))
            recent = now_ms - entry.ended_at_ms < RETENTION_MS
            if recent and len(self.ended) <= RETENTION_COUNT:
                return
            self.ended.popitem(last=False)


def digest_body(body: Any) -> str:
    """Return the SHA-256 of the canonical JSON of a response body, in hexadecimal."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
