"""Order of the waiting jobs of one pool; registered queue orders.

``weighted_fair`` is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) over teams.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import ClassVar, Protocol

from attrs import Factory, define

from .registry import Registry

# Weight of a new observation. Run times are lognormal with heavy tails; about the last 50 runs
# make an estimate that one long run does not distort for long.
RUN_TIME_SMOOTHING_RATIO = 0.02
# Stale heap entries are dropped when they outnumber the teams by this factor.
HEAP_SLACK_FACTOR = 4


class QueueOrder(Protocol):
    """The waiting jobs of one pool."""

    def push(
        self,
        job_id: str,
        team: str,
        weight: float,
        cost_ms: float,
        now_ms: float,
        urgent: bool = False,
    ) -> None:
        """Add a job.

        :param weight: the team's share weight, above 0.
        :param cost_ms: expected run time in ms, from :class:`RunTimes`.
        """

    def pop(self, eligible: Callable[[str], bool]) -> str | None:
        """Remove and return the next job of a team that may run now, None if there is none."""

    def remove(self, job_id: str) -> bool:
        """Remove a waiting job; returns False if it does not wait here."""

    def charge(self, team: str, actual_ms: float) -> None:
        """Replace the expected cost of one popped job of the team by its actual cost in ms.

        Call it once per popped job, with 0 if the job did not run.
        """

    def __len__(self) -> int:
        """Return the number of waiting jobs."""


QUEUE_ORDERS: Registry[Callable[[], QueueOrder]] = Registry("queue order")


@define
class RunTimes:
    """Expected run times, learned per queue, because declared run times are far off.

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
        # A plain average first: the first job must not dominate the next fifty.
        ratio = max(RUN_TIME_SMOOTHING_RATIO, 1 / count)
        mean = self.means_ms.get(queue, 0.0)
        self.means_ms[queue] = mean + ratio * (actual_ms - mean)


@define
class _Waiting:
    """A waiting job; ``number`` is its arrival number."""

    job_id: str
    team: str
    cost_ms: float
    number: int
    urgent: bool


@define
class _TeamQueue:
    """Waiting jobs of one team.

    :param tag: position of the team's valid heap entry, None if it has none.
    :param next_tag: virtual start time of the team's next job.
    :param charged_ms: expected costs of popped jobs that have not been corrected yet.
    """

    name: str
    weight: float = 1.0
    urgent: OrderedDict[str, _Waiting] = Factory(OrderedDict)
    deferred: OrderedDict[str, _Waiting] = Factory(OrderedDict)
    tag: float | None = None
    next_tag: float = 0.0
    charged_ms: deque[float] = Factory(deque)

    def __len__(self) -> int:
        return len(self.urgent) + len(self.deferred)

    @property
    def head(self) -> _Waiting:
        return next(iter((self.urgent or self.deferred).values()))

    def pop_head(self) -> _Waiting:
        return (self.urgent or self.deferred).popitem(last=False)[1]


@define
class _TeamHeap:
    """Base of the queue orders: a heap of the teams with waiting jobs, by tag.

    Entries whose tag is no longer the team's are stale and are dropped when they are met, so
    every operation takes O(log teams), plus one such step per ineligible team in ``pop``.
    """

    separates_urgent: ClassVar[bool] = True

    _teams: dict[str, _TeamQueue] = Factory(dict)
    _jobs: dict[str, _Waiting] = Factory(dict)
    _heap: list[tuple[float, str]] = Factory(list)
    _arrival_count: int = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def push(
        self,
        job_id: str,
        team: str,
        weight: float,
        cost_ms: float,
        now_ms: float,
        urgent: bool = False,
    ) -> None:
        """Add a job; see :class:`QueueOrder`."""
        if job_id in self._jobs:
            raise ValueError(f"job {job_id} waits already")
        self._arrival_count += 1
        job = _Waiting(job_id, team, cost_ms, self._arrival_count, urgent and self.separates_urgent)
        self._jobs[job_id] = job
        queue = self._teams.setdefault(team, _TeamQueue(team))
        queue.weight = weight
        was_empty = not len(queue)
        (queue.urgent if job.urgent else queue.deferred)[job_id] = job
        if was_empty:
            self._place(queue, self._first_tag(queue))

    def pop(self, eligible: Callable[[str], bool]) -> str | None:
        """Remove and return the next job; see :class:`QueueOrder`."""
        skipped: list[_TeamQueue] = []
        popped: _Waiting | None = None
        while self._heap and popped is None:
            tag, name = heapq.heappop(self._heap)
            queue = self._teams[name]
            if queue.tag != tag:
                continue
            queue.tag = None
            if not len(queue):
                continue
            if not eligible(name):
                skipped.append(queue)
                continue
            popped = queue.pop_head()
            del self._jobs[popped.job_id]
            self._count_pop(queue, popped, tag)
            if len(queue):
                self._place(queue, self._next_tag(queue))
        for queue in skipped:
            self._place(queue, self._skipped_tag(queue))
        return popped.job_id if popped else None

    def remove(self, job_id: str) -> bool:
        """Remove a waiting job; see :class:`QueueOrder`."""
        job = self._jobs.pop(job_id, None)
        if job is None:
            return False
        queue = self._teams[job.team]
        del (queue.urgent if job.urgent else queue.deferred)[job_id]
        if len(queue):
            self._head_changed(queue)
        return True

    def charge(self, team: str, actual_ms: float) -> None:
        """Correct a cost; see :class:`QueueOrder`."""

    def _place(self, queue: _TeamQueue, tag: float) -> None:
        if queue.tag == tag:
            return
        queue.tag = tag
        heapq.heappush(self._heap, (tag, queue.name))
        if len(self._heap) > HEAP_SLACK_FACTOR * len(self._teams) + 16:
            self._heap = [
                (team.tag, team.name) for team in self._teams.values() if team.tag is not None
            ]
            heapq.heapify(self._heap)

    def _first_tag(self, queue: _TeamQueue) -> float:
        raise NotImplementedError

    def _next_tag(self, queue: _TeamQueue) -> float:
        raise NotImplementedError

    def _skipped_tag(self, queue: _TeamQueue) -> float:
        return self._next_tag(queue)

    def _head_changed(self, queue: _TeamQueue) -> None:
        pass

    def _count_pop(self, queue: _TeamQueue, job: _Waiting, tag: float) -> None:
        pass


@QUEUE_ORDERS.register("weighted_fair")
@define
class WeightedFair(_TeamHeap):
    """Start-time fair queueing over teams; interactive jobs first within a team.

    A team's tag is its virtual start time in ms of run time per unit of weight.
    """

    _virtual_ms: float = 0.0

    def charge(self, team: str, actual_ms: float) -> None:
        """Correct the team's virtual time by the difference from the expected cost.

        Which of the team's popped jobs is corrected does not matter, since only the sum of the
        differences enters the virtual time.
        """
        queue = self._teams.get(team)
        if queue is None or not queue.charged_ms:
            return
        queue.next_tag += (actual_ms - queue.charged_ms.popleft()) / queue.weight
        if len(queue):
            self._place(queue, queue.next_tag)

    def _first_tag(self, queue: _TeamQueue) -> float:
        # An idle team gets no credit for the time in which it had no jobs.
        queue.next_tag = max(self._virtual_ms, queue.next_tag)
        return queue.next_tag

    def _next_tag(self, queue: _TeamQueue) -> float:
        return queue.next_tag

    def _skipped_tag(self, queue: _TeamQueue) -> float:
        # Nor does a team that its upper limit kept from running.
        return self._first_tag(queue)

    def _count_pop(self, queue: _TeamQueue, job: _Waiting, tag: float) -> None:
        self._virtual_ms = max(self._virtual_ms, tag)
        queue.next_tag = tag + job.cost_ms / queue.weight
        queue.charged_ms.append(job.cost_ms)


@QUEUE_ORDERS.register("first_come")
@define
class FirstCome(_TeamHeap):
    """Baseline: order of arrival over all teams; a team's tag is its first job's number."""

    separates_urgent: ClassVar[bool] = False

    def _first_tag(self, queue: _TeamQueue) -> float:
        return queue.head.number

    def _next_tag(self, queue: _TeamQueue) -> float:
        return queue.head.number

    def _head_changed(self, queue: _TeamQueue) -> None:
        self._place(queue, queue.head.number)
