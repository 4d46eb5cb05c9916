"""Load of upstreams and pools, as the scheduler reports it to the owner of the VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from attrs import Factory, frozen


@frozen
class UpstreamLoad:
    """Load of one upstream.

    :param long_running_count: runs of long-running tasks.
    :param long_running_millicores: capacity reserved by long-running tasks: their share of the
        resource that they need most, converted to cpu.
    :param busy_millicores: the same for all runs.
    :param pool_waiting_count: waiting tasks of its pool.
    """

    upstream_id: str
    pool: str
    run_count: int
    long_running_count: int
    long_running_millicores: int
    busy_millicores: int
    capacity_millicores: int
    pool_waiting_count: int


@frozen
class Loads:
    """Load of all upstreams and demand of all pools.

    :param short_millicores: by pool, cpu of ready tasks that found no upstream and that need added
        capacity: long-running tasks, gangs and tasks bound by a label or a limit per upstream.
    :param backlog_millicore_ms: by pool, estimated work of all other tasks that found no upstream.
    :param offered_millicores: by pool, offered load: the work of recently submitted jobs divided by
        the time in which they arrived, without jobs beyond the share of their account.
    :param deferred_millicore_ms: by pool, estimated work of tasks that found no upstream and whose
        jobs are late or beyond the share of their account; part of none of the others.
    """

    upstreams: Mapping[str, UpstreamLoad]
    short_millicores: Mapping[str, int]
    backlog_millicore_ms: Mapping[str, int]
    offered_millicores: Mapping[str, int]
    deferred_millicore_ms: Mapping[str, int] = Factory(dict)


class OfferedLoad:
    """Offered load of each pool, from the work of recently submitted jobs.

    A short window shows the start of a burst sooner, but is inaccurate for a few large jobs.

    :param windows_ms: lengths of the sliding windows; the highest rate of all windows counts.
    :param min_count: jobs that a window must contain to count; the longest one always counts.
    """

    def __init__(self, windows_ms: tuple[float, ...], min_count: int) -> None:
        self._windows_ms = sorted(windows_ms)
        self._min_count = min_count
        self._arrivals: dict[str, deque[tuple[float, float]]] = {}

    def add(self, now_ms: float, pool: str, work_millicore_ms: float) -> None:
        """Add the work of a submitted job."""
        self._arrivals.setdefault(pool, deque()).append((now_ms, work_millicore_ms))

    def rates(self, now_ms: float) -> dict[str, int]:
        """Return the millicores that the recently submitted jobs need, by pool."""
        return {pool: self._rate(jobs, now_ms) for pool, jobs in self._arrivals.items()}

    def _rate(self, arrivals: deque[tuple[float, float]], now_ms: float) -> int:
        longest_ms = self._windows_ms[-1]
        while arrivals and arrivals[0][0] < now_ms - longest_ms:
            arrivals.popleft()
        best = sum(work for _, work in arrivals) / longest_ms
        for window_ms in self._windows_ms[:-1]:
            recent = [work for at_ms, work in arrivals if at_ms >= now_ms - window_ms]
            if len(recent) >= self._min_count:
                best = max(best, sum(recent) / window_ms)
        return int(best)


class SubmissionShares:
    """Submissions of each account within the last second, compared with its share.

    The weight of an account is its share: the number of jobs per second that it can rely on under
    overload.
    """

    WINDOW_MS = 1_000.0

    def __init__(self) -> None:
        self._arrivals: dict[str, deque[float]] = {}

    def exceeds(self, now_ms: float, account: str, weight: float) -> bool:
        """Return whether a submission exceeds the account's share; count it if it does not."""
        arrivals = self._arrivals.setdefault(account, deque())
        while arrivals and arrivals[0] <= now_ms - self.WINDOW_MS:
            arrivals.popleft()
        if len(arrivals) >= max(1.0, weight):
            return True
        arrivals.append(now_ms)
        return False
