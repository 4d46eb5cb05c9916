"""Core types: the fleet that operators configure, and the jobs that callers submit."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Any

from attrs import field, frozen

from . import defaults


class Mode(StrEnum):
    """How a queue's jobs are answered."""

    INTERACTIVE = "interactive"
    DEFERRED = "deferred"


class Outcome(StrEnum):
    """Outcome of a job, as reported to its caller."""

    ANSWERED = "answered"
    ACCEPTED = "accepted"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class HealthVerdict(StrEnum):
    """Result of one attempt or probe, as evidence of an upstream's health."""

    RESULT = "result"
    ERROR_ANSWER = "error_answer"
    NO_ANSWER = "no_answer"


@frozen
class QueueSpec:
    """A queue: where its jobs run and how they are answered.

    :param guarded: jobs are not idempotent and run at most once.
    :param open_to_all: jobs need no API key and belong to no team.
    """

    name: str
    pool: str
    mode: Mode = Mode.INTERACTIVE
    guarded: bool = False
    open_to_all: bool = False
    waiting_limit_count: int = defaults.QUEUE_WAITING_LIMIT_COUNT


@frozen
class TeamSpec:
    """A team: its share when the fleet is saturated, and its upper limit.

    :param upper_limit_count: maximum number of its jobs that run at once across the fleet.
    """

    name: str
    share_weight: float
    upper_limit_count: int


@frozen
class PoolSpec:
    """A pool of VMs that runs the jobs of one service.

    The two counts are the availability budget.

    :param max_unavailable_count: maximum number of VMs of the pool out of service at once.
    :param min_available_count: minimum number of VMs in service; moves to other pools keep it too.
    :param spare: the pool is the first to provide VMs and free slots for other pools.
    """

    name: str
    max_unavailable_count: int
    min_available_count: int = 1
    spare: bool = False


@frozen
class VmSpec:
    """An upstream VM. ``pool`` is its initial pool; later moves are recorded in the log."""

    name: str
    pool: str
    data_centre: str
    rack: str
    address: str
    slot_count: int = 8
    connection_count: int = 64
    processor_count: int = 16
    memory_gb: int = 64
    accelerator_count: int = 0


@frozen
class PolicySpec:
    """Names of the registered policies in use."""

    routing: str = "two_choices"
    ejection: str = "three_valued"
    queue_order: str = "weighted_fair"
    capacity: str = "forecast"
    wave: str = "budgeted"


@frozen
class FleetConfig:
    """The configuration that operators publish."""

    queues: tuple[QueueSpec, ...] = ()
    teams: tuple[TeamSpec, ...] = ()
    pools: tuple[PoolSpec, ...] = ()
    vms: tuple[VmSpec, ...] = ()
    policies: PolicySpec = PolicySpec()

    def queue(self, name: str) -> QueueSpec | None:
        """Return the queue of that name, None if there is none."""
        return next((queue for queue in self.queues if queue.name == name), None)


@frozen
class KeyGrant:
    """A granted API key; only its digest is stored.

    :param cutoff_grace_s: how much longer a partitioned entry VM accepts the key.
    """

    key_id: str
    team: str
    cutoff_grace_s: float = 0.0


@frozen
class Member:
    """An entry VM that has joined."""

    name: str
    incarnation: str
    data_centre: str
    peer_address: str
    client_address: str


@frozen
class Job:
    """A decoded submission.

    :param deadline_ms: time on the entry VM's monotonic clock.
    :param issued_by: incarnation that issued the request ID, empty if the caller chose it.
    :param key_id: API key that must still be valid when an interactive job starts; empty for other
        jobs.
    """

    request_id: str
    queue: str
    team: str
    payload: Any
    body_digest: str
    declared_run_ms: float
    deadline_ms: float
    guarded: bool
    mode: Mode
    pool: str
    issued_by: str = ""
    key_id: str = ""


@frozen
class Answer:
    """A complete answer of a worker.

    :param succeeded: False if the job itself reported a failure.
    """

    body: Any
    succeeded: bool = True
    worker: str = ""


@frozen
class Reply:
    """Response to the caller of a job."""

    request_id: str
    outcome: Outcome
    answer: Answer | None = None
    code: str = ""
    message: str = ""
    step: str = ""
    peer: str = ""
    limit: str = ""
    status: int = 200


@frozen
class Attempt:
    """One attempt to run a job at one upstream.

    :param placed_at_ms: time at which the upstream was selected; nothing was sent earlier.
    """

    attempt_id: str
    request_id: str
    worker: str
    payload: Any = field(repr=False, default=None)
    guarded: bool = False
    team: str = ""
    declared_run_ms: float = 0.0
    deadline_ms: float = 0.0
    number: int = 1
    placed_at_ms: float = 0.0


def digest_key(key: str) -> str:
    """Return the ID under which a key is stored: its SHA-256 digest in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def issuer_of(request_id: str) -> tuple[str, str] | None:
    """Return ``(entry, incarnation)`` of an issued request ID, None for any other ID."""
    parts = request_id.split(".")
    if len(parts) != 3 or not parts[2].isdigit() or len(parts[1]) != 16:
        return None
    return parts[0], parts[1]
