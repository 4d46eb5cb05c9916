"""Messages of the dispatch actor, and the job entries that it owns."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from attrs import Factory, define, field, frozen

from . import defaults, limits
from .admission import Submission
from .charts import load_chart
from .errors import LogUnavailableError
from .model import Answer, Attempt, Job, Reply
from .replay import AuditEntry

JOB_CHART = load_chart("job")


@frozen
class Submit:
    """A decoded submission; the reply is a :class:`Reply`."""

    submission: Submission
    reply: asyncio.Future[Reply]


@frozen
class Query:
    """Query the outcome of a request; the reply is a :class:`Reply`, None if it is unknown here.

    A job that does not belong to the key's team counts as unknown.
    """

    request_id: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class Cancel:
    """Cancel a job; the reply is as for :class:`Query`."""

    request_id: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class ReadLoggedOutcome:
    """Query the outcome of a job in the log; the reply is as for :class:`Query`."""

    request_id: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class ForwardSubmission:
    """To the peers' actor: forward a submission to the incarnation that issued its request ID."""

    submission: Submission
    incarnation: str
    reply: asyncio.Future[Reply]


@frozen
class OwnDemand:
    """To the peers' actor: rights that this entry VM lacks, and its load in each pool.

    :param wanted_count: number of missing rights, by team.
    :param loads: numbers of running and waiting jobs, by pool.
    """

    wanted_count: Mapping[str, int]
    loads: Mapping[str, tuple[int, int]] = Factory(dict)


@frozen
class PeersChanged:
    """Rights that peers lack, and the IDs of keys withdrawn through them."""

    peer_demands: list[limits.PeerDemand]
    withdrawn: frozenset[str]


@frozen
class LeavingVmsListed:
    """Names of the leaving VMs in the platform's list of VMs, which lags."""

    leaving: frozenset[str]


@frozen
class RefreshUpstreams:
    """Query some workers' state now rather than at the next renewal of their leases."""

    names: tuple[str, ...]


@frozen
class RecordEnded:
    """A record that this actor appended has been replayed, or was not written."""

    record: Any
    append_result: AuditEntry | LogUnavailableError


@frozen
class FenceDue:
    """Query the guard about an attempt again."""

    request_id: str
    attempt_id: str


@frozen
class SweepDeadlines:
    """Expire jobs whose deadline has passed."""


@frozen
class PlaceWaiting:
    """Try again to place waiting jobs, because a worker may no longer be full."""


@frozen
class Rebalance:
    """Move rights between entry VMs and adopt jobs of retired incarnations."""


@frozen
class Drain:
    """Refuse new submissions; the reply is sent when no job is left."""

    reply: asyncio.Future[None]


@frozen
class AnswerUnfinished:
    """Answer the callers of all jobs that have not ended, as the entry VM stops."""


@frozen
class SetIncarnation:
    """Start a new incarnation after this one was retired."""

    incarnation: str


@frozen
class FenceAndCountTasks:
    """Fence an incarnation at every worker.

    The reply is the number of its tasks that are still running, None if a worker has not answered.
    A worker's answer that no task is running stays valid until the worker reboots, so answers from
    several calls are combined: during a wave, some worker may be rebooting at any time.
    """

    incarnation: str
    reply: asyncio.Future[int | None]


@frozen
class ReadUsage:
    """Query running and waiting jobs per team; the reply is a :class:`Usage`."""

    reply: asyncio.Future[Usage]


@frozen
class ReadReachability:
    """Query whether any upstream answers; the reply is False if every pool is unreachable."""

    reply: asyncio.Future[bool]


@frozen
class Usage:
    """Running jobs, waiting jobs and rights of this entry VM, per team."""

    running: Mapping[str, int]
    waiting: Mapping[str, int]
    rights: Mapping[str, int]


@define
class JobEntry:
    """A job and its progress; ``state`` is a state of the job chart."""

    job: Job
    state: str = JOB_CHART.initial
    waiters: list[asyncio.Future[Any]] = Factory(list)
    admitted_ms: float = 0.0
    reply: Reply | None = None
    attempt: Attempt | None = None
    attempt_count: int = 0
    refusal_count: int = 0
    placed_on: str = ""
    placed_at_ms: float = 0.0
    boot_id: str = ""
    fence_delay_ms: float = defaults.GUARD_QUERY_FIRST_MS
    no_answer_at_ms: float | None = None
    excluded: set[str] = Factory(set)
    claim_epoch: int = 0
    answer: Answer | None = field(default=None, repr=False)
    # Whether an attempt before the latest one has started or may have started.
    may_have_run: bool = False
