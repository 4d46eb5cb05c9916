"""What runs where, as the scheduler tells the owner of the VMs."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping

from attrs import frozen


@frozen
class UpstreamLoad:
    """What runs at an upstream.

    :param busy_millicores: cpu that its runs have reserved.
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

    :param short_millicores: by pool, cpu of ready tasks that found no upstream.
    :param offered_millicores: by pool, cpu that the jobs of the last seconds need to be kept up
        with: their work by the time in which they came.
    """

    upstreams: Mapping[str, UpstreamLoad]
    short_millicores: Mapping[str, int]
    offered_millicores: Mapping[str, int]


class Offered:
    """Work that callers have handed in lately, by pool.

    :param window_ms: how far back it looks.
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._arrivals: deque[tuple[float, str, float]] = deque()

    def add(self, now_ms: float, pool: str, work_millicore_ms: float) -> None:
        """Take in a job."""
        self._arrivals.append((now_ms, pool, work_millicore_ms))

    def rates(self, now_ms: float) -> dict[str, int]:
        """Return the millicores that keep up with the jobs of the window."""
        while self._arrivals and self._arrivals[0][0] < now_ms - self._window_ms:
            self._arrivals.popleft()
        totals: Counter[str] = Counter()
        for _, pool, work_millicore_ms in self._arrivals:
            totals[pool] += work_millicore_ms  # type: ignore[assignment]
        return {pool: int(total / self._window_ms) for pool, total in totals.items()}


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
