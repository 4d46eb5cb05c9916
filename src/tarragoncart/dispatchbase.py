"""Base of the dispatch actor: its state, and the steps of the job chart."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

from . import defaults, fairqueue, limits
from .admission import AdmissionContext
from .jobs import JOB_CHART, JobEntry, RecordEnded
from .journal import Append, Journal
from .mailbox import Actor, new_reply, resolve
from .model import Attempt, Reply, issuer_of
from .placement import PoolPlacement, UpstreamFacts
from .replay import FleetView, JobState
from .replies import issue_time_ms
from .timer import Timer
from .upstream import Upstream


class DispatchBase(Actor):
    """Holds the jobs of an entry VM and the state that the dispatch actor needs for them.

    :param entry: name of this entry VM.
    :param rng: random number generator of the routing policies.
    """

    def __init__(
        self,
        entry: str,
        data_centre: str,
        incarnation: str,
        journal: Journal,
        timer: Timer,
        rng: random.Random,
        source_address: str = "",
        key_freshness_ms: float = defaults.KEY_FRESHNESS_MS,
    ) -> None:
        super().__init__("dispatch")
        self.entry = entry
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.peers: Actor | None = None
        self.operations: Actor | None = None
        self._journal = journal
        self._timer = timer
        self._rng = rng
        self._source_address = source_address
        self._key_freshness_ms = key_freshness_ms
        self._view = FleetView()
        self._fresh_as_of_ms = float("-inf")
        self._loaded = False
        self._log_available = False
        self._drain_replies: list[asyncio.Future[None]] = []
        self._is_draining = False
        self._jobs: dict[str, JobEntry] = {}
        self._logged_jobs: dict[str, JobState] = {}
        self._finished_at_ms: dict[str, float] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._pool_name_of_upstream: dict[str, str] = {}
        self._sweep_due_ms = float("inf")
        self._pools: dict[str, PoolPlacement] = {}
        self._slot_usage = fairqueue.SlotTimeLedger()
        self._upstreams: dict[str, Upstream] = {}
        self._upstream_facts: dict[str, UpstreamFacts] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._ledger = limits.RightsLedger(incarnation)
        self._waiting_counts: Counter[str] = Counter()
        # Lost attempts of retried idempotent jobs that may still be running, with the boot ID of
        # their worker; each counts as a running job of its team.
        self._superseded_attempts: dict[str, tuple[Attempt, str]] = {}
        # By retired incarnation: boot IDs of the workers at which it is fenced and runs nothing.
        self._idle_boot_ids: dict[str, dict[str, str]] = {}
        self._peer_demands: list[limits.PeerDemand] = []
        self._withdrawn_keys: frozenset[str] = frozenset()
        self._attempt_number = 0
        self._last_tick_ms = timer.now_ms()
        self._pause_detected_ms = float("-inf")

    @property
    def view(self) -> FleetView:
        """Current view of the fleet, read-only."""
        return self._view

    @property
    def config_version(self) -> int | None:
        """Version of the configuration in force on this entry VM, None until the view is loaded."""
        return self._view.config_version if self._loaded else None

    @property
    def draining(self) -> bool:
        """Whether this entry VM refuses new submissions because it is about to stop."""
        return self._is_draining

    @property
    def view_age_ms(self) -> float:
        """Age of the view in ms."""
        return min(self._timer.now_ms() - self._fresh_as_of_ms, 1e12)

    def _has_not_started(self, request_id: str) -> bool:
        """Return whether it is certain that no entry VM has started this request ID."""
        if not self._is_sole_starter(request_id) or request_id in self._jobs:
            return False
        # A job is kept for longer than its ID is valid, so a valid ID without a job has not run.
        return self._timer.now_ms() - issue_time_ms(request_id) <= defaults.REQUEST_ID_VALIDITY_MS

    def _is_sole_starter(self, request_id: str) -> bool:
        """Return whether no other entry VM can have started this request ID."""
        return issuer_of(request_id) == (self.entry, self.incarnation)

    def _admission_context(self) -> AdmissionContext:
        now_ms = self._timer.now_ms()
        return AdmissionContext(
            view=self._view,
            view_age_ms=now_ms - self._fresh_as_of_ms,
            loaded=self._loaded,
            draining=self._is_draining,
            now_ms=now_ms,
            key_freshness_ms=self._key_freshness_ms,
            withdrawn=self._withdrawn_keys,
        )

    def _step(self, entry: JobEntry, event: str, **details: Any) -> None:
        self.step(JOB_CHART, entry, event, **details)
        if JOB_CHART.is_final(entry.state) and entry is self._jobs.get(entry.job.request_id):
            self._finished_at_ms[entry.job.request_id] = self._timer.now_ms()

    # Records

    def _append(self, record: Any, expires_at_ms: float = float("inf")) -> None:
        reply = new_reply()

        def ended(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                self.tell_self(RecordEnded(record, done.result()))

        reply.add_done_callback(ended)
        self._journal.tell(Append(record, self.entry, reply, expires_at_ms))

    def _reply_to_waiters(self, entry: JobEntry, reply: Reply, *, final: bool = True) -> None:
        if final:
            entry.reply = reply
        for waiter in entry.waiters:
            resolve(waiter, reply)
        entry.waiters.clear()

    # Placement

    def _pool(self, name: str) -> PoolPlacement:
        pool = self._pools.get(name)
        if pool is None:
            policies = self._view.config.policies
            pool = PoolPlacement.create(policies, self.data_centre, self._rng, self._slot_usage)
            self._pools[name] = pool
        return pool

    def _pool_of_upstream(self, name: str) -> PoolPlacement | None:
        return self._pools.get(self._pool_name_of_upstream.get(name, ""))

    def _check_drained(self) -> None:
        if not self._is_draining:
            return
        if all(JOB_CHART.is_final(e.state) or e.state == "elsewhere" for e in self._jobs.values()):
            for reply in self._drain_replies:
                resolve(reply, None)
