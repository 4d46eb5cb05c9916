"""Placement of a pool's waiting jobs on its upstreams."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from attrs import Factory, define

from . import defaults, fairqueue, routing
from .model import HealthVerdict, Job, Mode, PolicySpec, VmSpec
from .upstream import UpstreamChanged


@define
class UpstreamFacts:
    """What this entry VM knows about one upstream.

    :param connection_limit_count: maximum number of this entry VM's concurrent jobs there.
    :param busy_until_ms: time until which no job is placed there because it refused one as full.
    """

    spec: VmSpec
    slot_count: int = 0
    running_count: int = 0
    reported_own_count: int = 0
    in_flight_count: int = 0
    placed_count: int = 0
    busy_until_ms: float = float("-inf")
    boot_id: str = ""
    connection_limit_count: int = 1
    in_service: bool = True
    leaving: bool = False


@define
class PoolPlacement:
    """Waiting jobs, upstreams, upstream health and routing of one pool."""

    policies: PolicySpec
    own_data_centre: str
    rng: random.Random
    waiting_jobs: fairqueue.QueueOrder
    health: routing.PoolHealth
    retries: routing.RetryBudget = Factory(routing.RetryBudget)
    run_times: fairqueue.RunTimes = Factory(fairqueue.RunTimes)
    upstreams: dict[str, UpstreamFacts] = Factory(dict)

    @classmethod
    def create(
        cls,
        policies: PolicySpec,
        own_data_centre: str,
        rng: random.Random,
        ledger: fairqueue.SlotTimeLedger,
    ) -> PoolPlacement:
        """Return an empty pool that uses the named policies.

        :param ledger: slot time by team, shared by all pools.
        """
        return cls(
            policies,
            own_data_centre,
            rng,
            fairqueue.make_order(policies.queue_order, ledger),
            routing.EJECTION.get(policies.ejection)(),
        )

    def add(self, facts: UpstreamFacts) -> None:
        """Add an upstream; it gets no jobs before it has granted a lease."""
        if facts.spec.name not in self.upstreams:
            self.health.step(facts.spec.name, "lease_expired")
        self.upstreams[facts.spec.name] = facts

    def discard(self, name: str) -> None:
        """Remove an upstream."""
        if self.upstreams.pop(name, None) is not None:
            self.health.discard(name)

    def observe(self, change: UpstreamChanged, now_ms: float) -> None:
        """Apply the outcome of a lease call."""
        facts = self.upstreams[change.name]
        if change.verdict is HealthVerdict.RESULT:
            facts.slot_count = change.slot_count
            facts.running_count = change.running_count
            facts.reported_own_count = facts.in_flight_count
            facts.boot_id = change.boot_id
            facts.leaving = change.leaving
            self.health.record_reachable(change.name, now_ms)
        else:
            self.health.record(change.name, change.verdict, now_ms)
        self._step_if_accepted(change.name, "lease_granted" if change.leased else "lease_expired")
        self.refresh(change.name)

    def refresh(self, name: str) -> None:
        """Update an upstream's state if it has begun or ceased to leave."""
        facts = self.upstreams[name]
        is_leaving = facts.leaving or not facts.in_service
        if is_leaving and self.health.state(name) != "leaving":
            self._step_if_accepted(name, "leaving")
        elif not is_leaving and self.health.state(name) == "leaving":
            self._step_if_accepted(name, "returned")

    def _step_if_accepted(self, name: str, event: str) -> None:
        if routing.UPSTREAM_CHART.accepts(self.health.state(name), event):
            self.health.step(name, event)

    def enqueue(self, job: Job, weight: float, now_ms: float) -> None:
        """Add a waiting job."""
        expected_run_ms = self.run_times.expected_ms(job.queue, job.declared_run_ms)
        urgent = job.mode is Mode.INTERACTIVE
        self.waiting_jobs.push(
            job.request_id, job.team, weight, expected_run_ms, now_ms, urgent=urgent
        )

    def charge(self, job: Job, actual_ms: float) -> None:
        """Charge a job's run time to its team once its placement has ended.

        :param actual_ms: run time in ms, 0 if the job did not run.
        """
        self.waiting_jobs.charge(job.team, actual_ms)
        if actual_ms > 0:
            self.run_times.observe(job.queue, actual_ms)

    def views(self, now_ms: float) -> Iterator[routing.UpstreamView]:
        """Yield the routing policies' views of the upstreams that have slots and are not busy."""
        for name, facts in self.upstreams.items():
            if facts.busy_until_ms > now_ms or not facts.slot_count:
                continue
            yield routing.UpstreamView(
                name=name,
                data_centre=facts.spec.data_centre,
                rack=facts.spec.rack,
                state=self.health.state(name),
                slot_count=facts.slot_count,
                in_flight_count=facts.in_flight_count,
                running_count=facts.running_count,
                reported_own_count=facts.reported_own_count,
                connection_limit_count=facts.connection_limit_count,
                failure_count=self.health.failure_count(name),
                has_result=self.health.has_result(name),
                placed_count=facts.placed_count,
            )

    def next_placement(
        self,
        may_start: Callable[[str], bool],
        excluded_of: Callable[[str], set[str]],
        now_ms: float,
    ) -> tuple[str, str] | None:
        """Remove the next job from the queue and choose its upstream.

        :param may_start: tells whether a job of a team may start.
        :param excluded_of: returns the upstreams that a job should avoid.
        :returns: the request ID and the upstream's name, None if no job can start now.
        """
        if not len(self.waiting_jobs):
            return None
        candidates = list(self.views(now_ms))
        # Without the second check, a pool whose only upstream is ejected would never probe it.
        if not any(routing.usable(candidates)) and not self.health.probe_is_due(now_ms):
            return None
        request_id = self.waiting_jobs.pop(may_start)
        if request_id is None:
            return None
        excluded = excluded_of(request_id)
        probe = self.health.claim_probe(now_ms)
        name = probe or self._choose(candidates, excluded) or self._choose(candidates, set())
        assert name is not None
        facts = self.upstreams[name]
        facts.in_flight_count += 1
        facts.placed_count += 1
        self.retries.record_attempt()
        return request_id, name

    def _choose(self, candidates: list[routing.UpstreamView], excluded: set[str]) -> str | None:
        return routing.choose(
            self.policies.routing, candidates, self.rng, self.own_data_centre, excluded
        )

    def release(self, name: str) -> None:
        """Free the slot of a job whose placement has ended."""
        facts = self.upstreams.get(name)
        if facts is not None:
            facts.in_flight_count -= 1

    def mark_busy(self, name: str, now_ms: float) -> None:
        """Exclude an upstream briefly after it has refused a job because it was full."""
        facts = self.upstreams.get(name)
        if facts is not None:
            facts.busy_until_ms = now_ms + defaults.UPSTREAM_BUSY_BACKOFF_MS
