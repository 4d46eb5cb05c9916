"""Queues of a pool's waiting jobs, registered by the name of their order.

``weighted_fair`` serves the team with the least slot time per unit of weight, which includes a
provisional charge for each running job.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import ClassVar, Protocol

from attrs import Factory, define

from .registry import Registry

# Weight of a new observation in the moving average. Run times are lognormal with heavy tails; an
# estimate from about the last 50 runs is not distorted for long by one long run.
RUN_TIME_SMOOTHING_RATIO = 0.02
# Provisional charge for a running job until its actual run time is known. A large charge makes the
# numbers of the teams' running jobs follow their weights, whatever the jobs' run times are. A
# charge of the expected run time only balances the starts, and long jobs then distort the shares
# over seconds.
PROVISIONAL_CHARGE_MS = 40_000.0
# Number of teams whose tags are refreshed by a pop.
REFRESH_COUNT = 2
# The heap is rebuilt without stale entries when it exceeds the number of teams by this factor.
HEAP_SLACK_FACTOR = 4


class QueueOrder(Protocol):
    """Queue of the waiting jobs of one pool."""

    def push(
        self,
        job_id: str,
        team: str,
        weight: float,
        expected_run_ms: float,
        now_ms: float,
        urgent: bool = False,
    ) -> None:
        """Add a job.

        :param weight: the team's share weight, above 0.
        :param expected_run_ms: expected run time in ms, from :class:`RunTimes`.
        """

    def pop(self, eligible: Callable[[str], bool]) -> str | None:
        """Remove and return the next job of a team that may run now, None if there is none."""

    def remove(self, job_id: str) -> bool:
        """Remove a waiting job and return whether it was in this queue."""

    def charge(self, team: str, actual_ms: float) -> None:
        """Replace the provisional charge for one popped job of the team by its run time in ms.

        Must be called once per popped job, with 0 if the job did not run.
        """

    def __len__(self) -> int:
        """Return the number of waiting jobs."""


QUEUE_ORDERS: Registry[Callable[[], QueueOrder]] = Registry("queue order")


@define
class RunTimes:
    """Expected run times, learned per queue because declared run times are inaccurate.

    :param means_ms: moving average of the actual run times by queue.
    """

    means_ms: dict[str, float] = Factory(dict)
    counts: dict[str, int] = Factory(dict)

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return the learned mean in ms; the declared run time until there is one."""
        return self.means_ms.get(queue, max(declared_ms, 1.0))

    def observe(self, queue: str, actual_ms: float) -> None:
        """Add one actual run time in ms."""
        count = self.counts.get(queue, 0) + 1
        self.counts[queue] = count
        # The estimate starts as a plain average, so that the first job does not dominate it for
        # the next fifty jobs.
        ratio = max(RUN_TIME_SMOOTHING_RATIO, 1 / count)
        mean = self.means_ms.get(queue, 0.0)
        self.means_ms[queue] = mean + ratio * (actual_ms - mean)


@define
class _WaitingJob:
    """A waiting job; ``number`` is its arrival number."""

    job_id: str
    team: str
    expected_run_ms: float
    number: int
    urgent: bool


@define
class _TeamQueue:
    """Waiting jobs of one team.

    :param tag: sort key of the team's valid heap entry, None if it has none.
    """

    name: str
    weight: float = 1.0
    urgent: OrderedDict[str, _WaitingJob] = Factory(OrderedDict)
    non_urgent: OrderedDict[str, _WaitingJob] = Factory(OrderedDict)
    tag: float | None = None

    def __len__(self) -> int:
        return len(self.urgent) + len(self.non_urgent)

    @property
    def head(self) -> _WaitingJob:
        return next(iter((self.urgent or self.non_urgent).values()))

    def pop_head(self) -> _WaitingJob:
        return (self.urgent or self.non_urgent).popitem(last=False)[1]


@define
class _TeamHeap:
    """Base class of the queue orders: a heap of the teams with waiting jobs, sorted by tag.

    An entry whose tag differs from its team's is stale and is dropped when it reaches the top, so
    every operation takes O(log teams); ``pop`` takes another O(log teams) per ineligible team.
    """

    separates_urgent: ClassVar[bool] = True

    _teams: dict[str, _TeamQueue] = Factory(dict)
    _jobs: dict[str, _WaitingJob] = Factory(dict)
    _heap: list[tuple[float, str]] = Factory(list)
    _arrival_count: int = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def push(
        self,
        job_id: str,
        team: str,
        weight: float,
        expected_run_ms: float,
        now_ms: float,
        urgent: bool = False,
    ) -> None:
        """Add a job; see :class:`QueueOrder`."""
        if job_id in self._jobs:
            raise ValueError(f"job {job_id} is already in the queue")
        self._arrival_count += 1
        job = _WaitingJob(
            job_id, team, expected_run_ms, self._arrival_count, urgent and self.separates_urgent
        )
        self._jobs[job_id] = job
        queue = self._teams.setdefault(team, _TeamQueue(team))
        queue.weight = weight
        was_empty = not len(queue)
        (queue.urgent if job.urgent else queue.non_urgent)[job_id] = job
        if was_empty:
            self._set_tag(queue, self._first_tag(queue))

    def pop(self, eligible: Callable[[str], bool]) -> str | None:
        """Remove and return the next job; see :class:`QueueOrder`."""
        skipped: list[_TeamQueue] = []
        popped: _WaitingJob | None = None
        while self._heap and popped is None:
            tag, name = heapq.heappop(self._heap)
            queue = self._teams[name]
            if queue.tag != tag:
                continue
            if len(queue) and (current := self._current_tag(queue, tag)) > tag:
                self._set_tag(queue, current)
                continue
            queue.tag = None
            if not len(queue):
                continue
            if not eligible(name):
                skipped.append(queue)
                continue
            popped = queue.pop_head()
            del self._jobs[popped.job_id]
            self._on_pop(queue, popped, tag)
            if len(queue):
                self._set_tag(queue, self._next_tag(queue))
        for queue in skipped:
            self._set_tag(queue, self._skipped_tag(queue))
        return popped.job_id if popped else None

    def remove(self, job_id: str) -> bool:
        """Remove a waiting job; see :class:`QueueOrder`."""
        job = self._jobs.pop(job_id, None)
        if job is None:
            return False
        queue = self._teams[job.team]
        del (queue.urgent if job.urgent else queue.non_urgent)[job_id]
        if len(queue):
            self._on_head_removed(queue)
        return True

    def charge(self, team: str, actual_ms: float) -> None:
        """Replace a provisional charge by a run time; see :class:`QueueOrder`."""

    def _set_tag(self, queue: _TeamQueue, tag: float) -> None:
        if queue.tag == tag:
            return
        queue.tag = tag
        heapq.heappush(self._heap, (tag, queue.name))
        if len(self._heap) > HEAP_SLACK_FACTOR * len(self._teams) + 16:
            self._heap = [
                (team.tag, team.name) for team in self._teams.values() if team.tag is not None
            ]
            heapq.heapify(self._heap)

    def _current_tag(self, queue: _TeamQueue, tag: float) -> float:
        return tag

    def _first_tag(self, queue: _TeamQueue) -> float:
        raise NotImplementedError

    def _next_tag(self, queue: _TeamQueue) -> float:
        raise NotImplementedError

    def _skipped_tag(self, queue: _TeamQueue) -> float:
        return self._next_tag(queue)

    def _on_head_removed(self, queue: _TeamQueue) -> None:
        pass

    def _on_pop(self, queue: _TeamQueue, job: _WaitingJob, tag: float) -> None:
        pass


@define
class TeamUsage:
    """Slot time of a team, over all pools that share a ledger.

    :param used_ms: slot time of its ended jobs in ms per unit of weight.
    :param provisional_ms: sum of ``provisional_charges_ms``.
    :param provisional_charges_ms: charges for its running jobs in ms per unit of weight.
    """

    weight: float = 1.0
    used_ms: float = 0.0
    provisional_ms: float = 0.0
    provisional_charges_ms: deque[float] = Factory(deque)

    @property
    def tag_ms(self) -> float:
        """Tag of the team; the team with the lowest one is served next."""
        return self.used_ms + self.provisional_ms


@define
class SlotTimeLedger:
    """Slot time by team, shared by the queues of all pools of an entry VM.

    :param virtual_time_ms: ``used_ms`` of the team that was served last; a team that was idle
        starts from it.
    """

    teams: dict[str, TeamUsage] = Factory(dict)
    virtual_time_ms: float = 0.0

    def usage(self, team: str) -> TeamUsage:
        """Return the slot time of a team."""
        return self.teams.setdefault(team, TeamUsage())


@QUEUE_ORDERS.register("weighted_fair")
@define
class WeightedFair(_TeamHeap):
    """Weighted fair queueing over teams; interactive jobs first within a team.

    :param ledger: slot time by team, shared by all pools that count towards the shares.
    """

    ledger: SlotTimeLedger = Factory(SlotTimeLedger)
    _rotation: deque[str] = Factory(deque)
    _seen_teams: set[str] = Factory(set)

    def pop(self, eligible: Callable[[str], bool]) -> str | None:
        """Remove and return the next job; see :class:`QueueOrder`."""
        # Jobs in other pools change the teams' tags. A heap entry with too low a tag is corrected
        # when it reaches the top. One with too high a tag is corrected by this rotation, at a cost
        # that does not depend on the number of pools.
        for _ in range(min(REFRESH_COUNT, len(self._rotation))):
            queue = self._teams[self._rotation[0]]
            self._rotation.rotate(-1)
            if len(queue):
                self._set_tag(queue, self.ledger.usage(queue.name).tag_ms)
        return _TeamHeap.pop(self, eligible)

    def charge(self, team: str, actual_ms: float) -> None:
        """Replace the provisional charge for one of the team's popped jobs by its run time.

        It does not matter which job's charge is replaced, since the tag depends on the sums only.
        """
        usage = self.ledger.usage(team)
        if not usage.provisional_charges_ms:
            return
        usage.provisional_ms -= usage.provisional_charges_ms.popleft()
        if not usage.provisional_charges_ms:
            usage.provisional_ms = 0.0
        usage.used_ms += actual_ms / usage.weight
        waiting = self._teams.get(team)
        if waiting is not None and len(waiting):
            self._set_tag(waiting, usage.tag_ms)

    def _current_tag(self, queue: _TeamQueue, tag: float) -> float:
        return self.ledger.usage(queue.name).tag_ms

    def _first_tag(self, queue: _TeamQueue) -> float:
        # A team gets no credit for the time in which it was idle or at its upper limit.
        if queue.name not in self._seen_teams:
            self._seen_teams.add(queue.name)
            self._rotation.append(queue.name)
        usage = self.ledger.usage(queue.name)
        usage.used_ms = max(self.ledger.virtual_time_ms, usage.used_ms)
        return usage.tag_ms

    def _next_tag(self, queue: _TeamQueue) -> float:
        return self.ledger.usage(queue.name).tag_ms

    def _skipped_tag(self, queue: _TeamQueue) -> float:
        return self._first_tag(queue)

    def _on_pop(self, queue: _TeamQueue, job: _WaitingJob, tag: float) -> None:
        usage = self.ledger.usage(queue.name)
        self.ledger.virtual_time_ms = usage.used_ms
        usage.weight = queue.weight
        charge_ms = self._provisional_charge_ms(job) / queue.weight
        usage.provisional_charges_ms.append(charge_ms)
        usage.provisional_ms += charge_ms

    def _provisional_charge_ms(self, job: _WaitingJob) -> float:
        return PROVISIONAL_CHARGE_MS


@QUEUE_ORDERS.register("start_time_fair")
@define
class StartTimeFair(WeightedFair):
    """Baseline: the provisional charge is the expected run time, as in start-time fair queueing.

    Source: Goyal, Vin and Cheng, SIGCOMM 1996.
    """

    def _provisional_charge_ms(self, job: _WaitingJob) -> float:
        return job.expected_run_ms


@QUEUE_ORDERS.register("first_come")
@define
class FirstCome(_TeamHeap):
    """Baseline: order of arrival; a team's tag is the arrival number of its first job."""

    separates_urgent: ClassVar[bool] = False

    def _first_tag(self, queue: _TeamQueue) -> float:
        return queue.head.number

    def _next_tag(self, queue: _TeamQueue) -> float:
        return queue.head.number

    def _on_head_removed(self, queue: _TeamQueue) -> None:
        self._set_tag(queue, queue.head.number)


def make_order(policy: str, ledger: SlotTimeLedger) -> QueueOrder:
    """Return an empty queue of the named order for one pool.

    :param ledger: slot time by team, shared by all pools that count towards the shares.
    :raises RegistryError: for an unknown policy.
    """
    order = QUEUE_ORDERS.get(policy)()
    if isinstance(order, WeightedFair):
        return type(order)(ledger=ledger)
    return order
