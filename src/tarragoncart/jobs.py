"""Messages to the dispatch actor, and the job entries that it owns."""

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
    """Ask for the outcome of a request; the reply is a :class:`Reply` or None if unknown here.

    A job that does not belong to the team of the key is unknown.
    """

    request_id: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class Cancel:
    """A caller no longer wants a job; the reply is as for :class:`Query`."""

    request_id: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class ReadLogged:
    """Ask for the outcome of a job in the log; the reply is as for :class:`Query`."""

    request_id: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class ForwardSubmission:
    """For the peers' actor: let the incarnation that issued the request ID handle it."""

    submission: Submission
    incarnation: str
    reply: asyncio.Future[Reply]


@frozen
class OwnDemand:
    """For the peers' actor: rights that this entry VM wants, and its load in each pool.

    :param loads: running and waiting jobs by pool.
    """

    wanted_count: Mapping[str, int]
    loads: Mapping[str, tuple[int, int]] = Factory(dict)


@frozen
class PeersChanged:
    """What peers want, and the keys withdrawn through them."""

    wants: list[limits.PeerWants]
    withdrawn: frozenset[str]


@frozen
class VmsListed:
    """The platform's list of VMs, which lags: names of the leaving ones."""

    leaving: frozenset[str]


@frozen
class ProbeUpstreams:
    """Ask some workers for their state now rather than at the next renewal of the lease."""

    names: tuple[str, ...]


@frozen
class RecordEnded:
    """A record that this actor appended has been replayed, or was not written."""

    record: Any
    entry: AuditEntry | LogUnavailableError


@frozen
class FenceDue:
    """Time to ask a guard again."""

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
    """Move rights and adopt jobs of retired incarnations."""


@frozen
class Drain:
    """Refuse new work; the reply comes when no job is left."""

    reply: asyncio.Future[None]


@frozen
class UseIncarnation:
    """Start a new incarnation after this one was retired."""

    incarnation: str


@frozen
class CountTasks:
    """Fence an incarnation at every worker.

    The reply is the number of its tasks that still run, None if a worker has not answered. What
    a worker has answered once stays true until it reboots, so that the answers of all workers
    need not come at the same time: during a wave there may always be one that reboots.
    """

    incarnation: str
    reply: asyncio.Future[int | None]


@frozen
class ReadUsage:
    """Ask for running and waiting jobs per team; the reply is a :class:`Usage`."""

    reply: asyncio.Future[Usage]


@frozen
class ReadReach:
    """Ask whether any upstream answers; the reply is False if all are silent."""

    reply: asyncio.Future[bool]


@frozen
class Usage:
    """Jobs of this entry VM per team, and its rights."""

    running: Mapping[str, int]
    waiting: Mapping[str, int]
    rights: Mapping[str, int]


@define
class JobEntry:
    """A job and where it is; ``state`` is a state of the job chart."""

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
    # An attempt that was not the last has started, or may have.
    may_have_run: bool = False
