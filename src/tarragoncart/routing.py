"""Registered policies that select an upstream for a job and that eject failing upstreams."""

from __future__ import annotations

import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence

from attrs import Factory, define, field, frozen

from . import defaults
from .charts import load_chart
from .model import HealthVerdict
from .registry import Registry

UPSTREAM_CHART = load_chart("upstream")
UPSTREAM_ACTIONS: Registry[Callable[[_UpstreamHealth, float], None]] = Registry("upstream action")

# A placement examines this many random candidates before it examines the whole pool, so that its
# cost does not grow with the pool as long as a small part of the pool has free slots.
SAMPLE_COUNT = 8


@frozen
class UpstreamView:
    """What an entry VM knows about an upstream when it places a job.

    :param state: a state of the upstream chart.
    :param in_flight_count: this entry VM's own jobs at the upstream now.
    :param running_count: jobs of all entry VMs at the upstream in the last usage report.
    :param reported_own_count: this entry VM's own jobs at the time of that report.
    :param failure_count: see :meth:`PoolHealth.failure_count`.
    :param has_result: see :meth:`PoolHealth.has_result`.
    :param placed_count: jobs that this entry VM has placed at the upstream so far.
    """

    name: str
    data_centre: str
    rack: str
    state: str
    slot_count: int
    in_flight_count: int = 0
    running_count: int = 0
    reported_own_count: int = 0
    connection_limit_count: int = 64
    failure_count: int = 0
    has_result: bool = True
    placed_count: int = 0

    @property
    def estimated_count(self) -> int:
        """Estimated number of running jobs: this entry VM's own now, others' as last reported."""
        others_count = max(0, self.running_count - self.reported_own_count)
        return others_count + self.in_flight_count

    @property
    def load_ratio(self) -> float:
        """Estimated share of the slots in use."""
        return self.estimated_count / self.slot_count


Policy = Callable[[Sequence[UpstreamView], random.Random, str, Collection[str]], str | None]

ROUTING: Registry[Policy] = Registry("routing policy")


# Filters


def in_use(upstreams: Iterable[UpstreamView]) -> Iterator[UpstreamView]:
    """Yield upstreams that are leased, not leaving and not ejected."""
    return (upstream for upstream in upstreams if upstream.state == "in_use")


def with_free_slots(upstreams: Iterable[UpstreamView]) -> Iterator[UpstreamView]:
    """Yield upstreams with an estimated free slot."""
    return (u for u in upstreams if u.estimated_count < u.slot_count)


def with_free_connections(upstreams: Iterable[UpstreamView]) -> Iterator[UpstreamView]:
    """Yield upstreams with a free connection."""
    return (u for u in upstreams if u.in_flight_count < u.connection_limit_count)


def not_in(upstreams: Iterable[UpstreamView], excluded: Collection[str]) -> Iterator[UpstreamView]:
    """Yield upstreams that are not excluded."""
    return (upstream for upstream in upstreams if upstream.name not in excluded)


def within_failure_limit(upstreams: Iterable[UpstreamView]) -> Iterator[UpstreamView]:
    """Yield upstreams with a result and no failures, and others that cannot exceed the limit.

    The sum of an upstream's consecutive failures and jobs in flight must stay below the limit at
    which it may be ejected. Without this filter, an upstream that fails quickly looks idle and
    attracts jobs until the others in the pool have results that justify its ejection.
    """
    limit_count = defaults.EJECT_AFTER_FAILURES_COUNT
    return (
        u
        for u in upstreams
        if (u.has_result and not u.failure_count)
        or u.failure_count + u.in_flight_count < limit_count
    )


def usable(
    upstreams: Iterable[UpstreamView], excluded: Collection[str] = ()
) -> Iterator[UpstreamView]:
    """Yield upstreams that can take a job now."""
    return not_in(with_free_connections(with_free_slots(in_use(upstreams))), excluded)


# Policies


def choose(
    policy: str,
    candidates: Sequence[UpstreamView],
    rng: random.Random,
    own_data_centre: str,
    excluded: Collection[str] = (),
) -> str | None:
    """Return the upstream for a job, None if no candidate can take one now.

    :param policy: a name in :data:`ROUTING`.
    :param candidates: the upstreams of the job's pool.
    :param excluded: upstreams not to use, e.g. those that failed the job before.
    :raises RegistryError: for an unknown policy.
    """
    return ROUTING.get(policy)(candidates, rng, own_data_centre, excluded)


def _prefer_within_failure_limit(usable_upstreams: list[UpstreamView]) -> list[UpstreamView]:
    # If the whole pool fails, the filter leaves no upstream; all of them are used then.
    return list(within_failure_limit(usable_upstreams)) or usable_upstreams


@ROUTING.register("two_choices")
def two_choices(
    candidates: Sequence[UpstreamView],
    rng: random.Random,
    own_data_centre: str,
    excluded: Collection[str],
) -> str | None:
    """Return the less loaded of two random upstreams; if equal, one in the own data centre.

    Source: Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001.
    """
    sample = rng.sample(candidates, min(SAMPLE_COUNT, len(candidates)))
    pair = list(itertools.islice(within_failure_limit(usable(sample, excluded)), 2))
    if not pair:
        remaining = _prefer_within_failure_limit(list(usable(candidates, excluded)))
        pair = rng.sample(remaining, min(2, len(remaining)))
    best = min(pair, key=lambda u: (u.load_ratio, u.data_centre != own_data_centre), default=None)
    return best.name if best else None


@ROUTING.register("random")
def random_choice(
    candidates: Sequence[UpstreamView],
    rng: random.Random,
    own_data_centre: str,
    excluded: Collection[str],
) -> str | None:
    """Baseline: return a random usable upstream."""
    remaining = list(usable(candidates, excluded))
    return rng.choice(remaining).name if remaining else None


@ROUTING.register("least_loaded")
def least_loaded(
    candidates: Sequence[UpstreamView],
    rng: random.Random,
    own_data_centre: str,
    excluded: Collection[str],
) -> str | None:
    """Baseline: return the upstream with the lowest load; the estimate of the load lags."""
    best = min(usable(candidates, excluded), key=lambda u: (u.load_ratio, u.name), default=None)
    return best.name if best else None


@ROUTING.register("round_robin")
def round_robin(
    candidates: Sequence[UpstreamView],
    rng: random.Random,
    own_data_centre: str,
    excluded: Collection[str],
) -> str | None:
    """Baseline: return the upstream with the fewest placements so far."""
    best = min(usable(candidates, excluded), key=lambda u: (u.placed_count, u.name), default=None)
    return best.name if best else None


@define
class RetryBudget:
    """Token bucket that limits retries to ``ratio`` of all attempts, plus the initial tokens.

    :param capacity_count: maximum and initial number of tokens.
    """

    ratio: float = defaults.RETRY_BUDGET_RATIO
    capacity_count: float = defaults.RETRY_BUDGET_MIN_COUNT
    _tokens: float = field(init=False)

    @_tokens.default
    def _full(self) -> float:
        return self.capacity_count

    def record_attempt(self) -> None:
        """Add the fraction of a token that an attempt earns, be it the first or a retry."""
        self._tokens = min(self.capacity_count, self._tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take the token for one retry and return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


# Ejection

EJECTION: Registry[type[PoolHealth]] = Registry("ejection policy")


@define
class _UpstreamHealth:
    """Health of one upstream; a time is None while its event has not occurred.

    :param failures_ms: times of the latest consecutive failures.
    :param probe_ms: time when the next probe is due; while probing, when the probe was claimed.
    """

    state: str = UPSTREAM_CHART.step(UPSTREAM_CHART.initial, "lease_granted").state
    failure_count: int = 0
    no_answer_count: int = 0
    failures_ms: deque[float] = Factory(lambda: deque(maxlen=defaults.EJECT_AFTER_FAILURES_COUNT))
    last_failure_ms: float = -math.inf
    last_result_ms: float | None = None
    last_answer_ms: float | None = None
    last_no_answer_ms: float | None = None
    probe_ms: float = 0.0


@define
class PoolHealth:
    """Health of a pool's upstreams as observed by one entry VM.

    :param upstreams: names of the pool's upstreams.
    """

    upstreams: dict[str, _UpstreamHealth] = field(
        converter=lambda names: {name: _UpstreamHealth() for name in names}, factory=dict
    )
    _suspects: set[str] = field(factory=set, init=False)

    def step(self, upstream: str, event: str) -> None:
        """Apply an event of the upstream chart that does not come from a verdict.

        :raises ChartError: if the upstream's state does not accept the event.
        """
        health = self.upstreams.setdefault(upstream, _UpstreamHealth())
        self._step(health, event)
        if health.state == UPSTREAM_CHART.initial:
            # After a reboot or a lost lease, earlier results no longer show that jobs succeed.
            health.last_result_ms = None

    def state(self, upstream: str) -> str:
        """Return the upstream's state."""
        return self.upstreams[upstream].state

    def discard(self, upstream: str) -> None:
        """Remove an upstream that is no longer in the pool."""
        self.upstreams.pop(upstream, None)
        self._suspects.discard(upstream)

    def failure_count(self, upstream: str) -> int:
        """Return the number of consecutive failures of an upstream."""
        return self.upstreams[upstream].failure_count

    def has_result(self, upstream: str) -> bool:
        """Return whether the upstream has completed a job since it was last without a lease."""
        return self.upstreams[upstream].last_result_ms is not None

    def record_reachable(self, upstream: str, now_ms: float) -> None:
        """Record that an upstream is reachable, which does not show whether jobs succeed."""
        self.upstreams.setdefault(upstream, _UpstreamHealth()).last_answer_ms = now_ms

    def record(self, upstream: str, verdict: HealthVerdict, now_ms: float) -> None:
        """Record the verdict of a job, probe or lease call, and eject failing upstreams."""
        health = self.upstreams.setdefault(upstream, _UpstreamHealth())
        if verdict is HealthVerdict.RESULT:
            health.last_result_ms = health.last_answer_ms = now_ms
            health.failure_count = health.no_answer_count = 0
            health.failures_ms.clear()
        else:
            health.last_failure_ms = now_ms
            health.failures_ms.append(now_ms)
            health.failure_count += 1
            if verdict is HealthVerdict.NO_ANSWER:
                health.no_answer_count += 1
                health.last_no_answer_ms = now_ms
            else:
                health.no_answer_count = 0
                health.last_answer_ms = now_ms
        if health.state == "probing":
            passed = verdict is HealthVerdict.RESULT
            self._step(health, "probe_passed" if passed else "probe_failed", now_ms)
        if health.failure_count >= defaults.EJECT_AFTER_NO_ANSWERS_COUNT:
            self._suspects.add(upstream)
        else:
            self._suspects.discard(upstream)
        # The results that justify an ejection may come after the failures, so all suspects are
        # evaluated again after every verdict.
        for name in sorted(self._suspects):
            self._eject_if_justified(name, now_ms)

    def _eject_if_justified(self, upstream: str, now_ms: float) -> None:
        health = self.upstreams[upstream]
        if (
            health.state == "in_use"
            and self._should_eject(upstream, health, now_ms)
            and self._ejected_count() < self.ejected_limit_count
        ):
            self._step(health, "eject", now_ms)

    @property
    def ejected_limit_count(self) -> int:
        """Maximum number of upstreams that may be ejected at once."""
        return max(1, int(len(self.upstreams) * defaults.EJECT_MAX_RATIO))

    def ejected(self, now_ms: float) -> set[str]:
        """Return the upstreams that get no jobs other than a probe."""
        for health in self.upstreams.values():
            # A cancelled probe has no verdict; without a timeout the upstream would stay ejected.
            if (
                health.state == "probing"
                and now_ms >= health.probe_ms + defaults.ATTEMPT_TIMEOUT_MS
            ):
                self._step(health, "probe_failed")
                health.probe_ms = now_ms
        return {n for n, h in self.upstreams.items() if h.state in ("ejected", "probing")}

    def probe_is_due(self, now_ms: float) -> bool:
        """Return whether the single probe job of an ejected upstream is due."""
        return any(h.state == "ejected" and now_ms >= h.probe_ms for h in self.upstreams.values())

    def claim_probe(self, now_ms: float) -> str | None:
        """Reserve the probe job that is due for an ejected upstream.

        :returns: name of the upstream, None if no probe is due.
        """
        for name, health in self.upstreams.items():
            if health.state == "ejected" and now_ms >= health.probe_ms:
                self._step(health, "probe_due")
                health.probe_ms = now_ms
                return name
        return None

    def unreachable(self, now_ms: float) -> bool:
        """Return whether no upstream answers, so that this entry VM itself may be partitioned."""
        since_ms = now_ms - defaults.EJECT_WINDOW_MS
        unanswered_count = sum(
            _is_since(h.last_no_answer_ms, since_ms) for h in self.upstreams.values()
        )
        answered = any(_is_since(h.last_answer_ms, since_ms) for h in self.upstreams.values())
        return unanswered_count >= min(2, len(self.upstreams)) > 0 and not answered

    def _ejected_count(self) -> int:
        return sum(h.state in ("ejected", "probing") for h in self.upstreams.values())

    def _should_eject(self, upstream: str, health: _UpstreamHealth, now_ms: float) -> bool:
        raise NotImplementedError

    @staticmethod
    def _step(health: _UpstreamHealth, event: str, now_ms: float = 0.0) -> None:
        step = UPSTREAM_CHART.step(health.state, event)
        health.state = step.state
        for action in step.actions:
            UPSTREAM_ACTIONS.get(action)(health, now_ms)


@UPSTREAM_ACTIONS.register("reset_counts")
def _reset_counts(health: _UpstreamHealth, _: float) -> None:
    health.failure_count = health.no_answer_count = 0


@UPSTREAM_ACTIONS.register("schedule_probe")
def _schedule_probe(health: _UpstreamHealth, now_ms: float) -> None:
    health.probe_ms = now_ms + defaults.EJECT_DURATION_MS


def _is_since(time_ms: float | None, since_ms: float) -> bool:
    return time_ms is not None and time_ms >= since_ms


@EJECTION.register("three_valued")
@define
class ThreeValuedHealth(PoolHealth):
    """Ejects an upstream only if others in the pool do better during the same time."""

    def _should_eject(self, upstream: str, health: _UpstreamHealth, now_ms: float) -> bool:
        others = [h for name, h in self.upstreams.items() if name != upstream]
        # With little traffic the failures may span more than the window; results of the same span
        # count then.
        first_ms = health.failures_ms[0] if health.failures_ms else now_ms
        since_ms = min(now_ms - defaults.EJECT_WINDOW_MS, first_ms)
        if health.failure_count >= defaults.EJECT_AFTER_FAILURES_COUNT:
            # At the start of a pool-wide failure the others' earlier results are still within the
            # window, and after its end some upstreams have results before others. So upstreams
            # that failed during the same time do not count as healthy.
            result_count = sum(
                _is_since(h.last_result_ms, since_ms)
                and not h.failure_count
                and h.last_failure_ms < first_ms
                for h in others
            )
            if others and result_count * 2 >= len(others):
                return True
        if health.no_answer_count >= defaults.EJECT_AFTER_NO_ANSWERS_COUNT:
            return any(
                _is_since(h.last_answer_ms, since_ms)
                and not _is_since(h.last_no_answer_ms, first_ms)
                for h in others
            )
        return False


@EJECTION.register("two_valued")
@define
class TwoValuedHealth(PoolHealth):
    """Baseline: ejects after three consecutive failures, regardless of the rest of the pool."""

    def _should_eject(self, upstream: str, health: _UpstreamHealth, now_ms: float) -> bool:
        return health.failure_count >= defaults.EJECT_AFTER_FAILURES_COUNT
