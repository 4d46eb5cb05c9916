"""What runs where, as the scheduler tells the owner of the VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from attrs import frozen


@frozen
class UpstreamLoad:
    """What runs at an upstream.

    :param lasting_millicores: share of its capacity that runs that last have reserved, of the
        resource that they need most, as cpu; ``busy_millicores`` of all runs.
    :param pool_waiting_count: waiting tasks of its pool.
    """

    upstream_id: str
    pool: str
    run_count: int
    lasting_count: int
    lasting_millicores: int
    busy_millicores: int
    capacity_millicores: int
    pool_waiting_count: int


@frozen
class Loads:
    """What runs where.

    :param short_millicores: by pool, cpu of ready tasks that found no upstream and that more room
        at the present ones would not help: tasks that last, stay apart or start together.
    :param backlog_millicore_ms: by pool, estimated work of all other tasks that found no upstream.
    :param offered_millicores: by pool, cpu that the jobs of the last seconds need to be kept up
        with: their work by the time in which they came.
    """

    upstreams: Mapping[str, UpstreamLoad]
    short_millicores: Mapping[str, int]
    backlog_millicore_ms: Mapping[str, int]
    offered_millicores: Mapping[str, int]


class Offered:
    """Work that callers have handed in lately, by pool.

    A short window shows the start of a burst sooner, but says little about a few large jobs.

    :param windows_ms: how far back it looks; the highest rate of all windows counts.
    :param min_count: jobs that a window needs, but for the longest.
    """

    def __init__(self, windows_ms: tuple[float, ...], min_count: int) -> None:
        self._windows_ms = sorted(windows_ms)
        self._min_count = min_count
        self._arrivals: dict[str, deque[tuple[float, float]]] = {}

    def add(self, now_ms: float, pool: str, work_millicore_ms: float) -> None:
        """Take in a job."""
        self._arrivals.setdefault(pool, deque()).append((now_ms, work_millicore_ms))

    def rates(self, now_ms: float) -> dict[str, int]:
        """Return the millicores that keep up with the jobs of the windows."""
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


class Shares:
    """Submissions of each account within the last second.

    An account's weight is the number of jobs a second that it may count on when all is full.
    """

    WINDOW_MS = 1_000.0

    def __init__(self) -> None:
        self._arrivals: dict[str, deque[float]] = {}

    def exceeds(self, now_ms: float, account: str, weight: float) -> bool:
        """Take in a submission and tell whether it is beyond the account's share."""
        arrivals = self._arrivals.setdefault(account, deque())
        while arrivals and arrivals[0] <= now_ms - self.WINDOW_MS:
            arrivals.popleft()
        if len(arrivals) >= max(1.0, weight):
            return True
        arrivals.append(now_ms)
        return False
