"""Handling of changes in the log and the fleet: records, pools, upstreams, rights, adoption."""

from __future__ import annotations

import asyncio
import functools
import hashlib
from typing import Any

from attrs import evolve

from . import defaults, fairqueue, limits, metrics, records
from .attempts import Evidence
from .delivery import Delivery
from .errors import LogUnavailableError
from .jobs import (
    JOB_CHART,
    JobEntry,
    LeavingVmsListed,
    OwnDemand,
    PeersChanged,
    PlaceWaiting,
    Rebalance,
    RecordEnded,
    RefreshUpstreams,
)
from .journal import JobChanged, ReadJob, ViewChanged
from .mailbox import new_reply, receives
from .model import Answer, Attempt, Job, Mode, Outcome, VmSpec
from .placement import UpstreamFacts
from .replay import AuditEntry, FleetView, JobState
from .replies import (
    cancelled_error,
    different_body_error,
    expired_error,
    log_unavailable_error,
    recorded_not_run_error,
)
from .upstream import AttemptEnded, FenceRequest, RenewLease, Upstream, UpstreamChanged


class FleetFollower(Delivery):
    """Keeps jobs, pools, upstreams and rights in line with the log and the view of the fleet."""

    @receives(RecordEnded)
    def _on_record_ended(self, message: RecordEnded) -> None:
        self._record_ended(message.record, message.append_result)

    @functools.singledispatchmethod
    def _record_ended(self, record: Any, append_result: AuditEntry | LogUnavailableError) -> None:
        """Ignore records that have no effect here other than by their replay."""

    @_record_ended.register
    def _accept_ended(
        self, record: records.AcceptJob, append_result: AuditEntry | LogUnavailableError
    ) -> None:
        entry = self._jobs[record.request_id]
        if isinstance(append_result, LogUnavailableError):
            self._step(entry, "refuse", error=log_unavailable_error(append_result))
        elif append_result.accepted:
            self._step(entry, "recorded")
            self._place_jobs(entry.job.pool)
        elif append_result.reason == "different_body":
            self._discard_conflicting_job(entry)
        elif append_result.reason == "expired":
            self._step(entry, "refuse", error=expired_error())
        else:
            self._step(entry, "record_rejected")
            self._read_logged_state(entry)

    @_record_ended.register
    def _claim_ended(
        self, record: records.ClaimJob, append_result: AuditEntry | LogUnavailableError
    ) -> None:
        entry = self._jobs[record.request_id]
        if isinstance(append_result, LogUnavailableError):
            if entry.job.mode is Mode.DEFERRED or entry.state == "abandoned":
                self._step(entry, "log_unavailable")
            else:
                self._step(entry, "refuse", error=log_unavailable_error(append_result))
        elif append_result.accepted:
            entry.claim_epoch = record.epoch
            has_left = entry.state == "claiming" and not self._is_usable(entry)
            self._step(entry, "worker_left" if has_left else "claimed")
        elif append_result.reason == "different_body":
            self._discard_conflicting_job(entry)
        elif append_result.reason == "expired":
            self._step(entry, "refuse", error=expired_error())
        else:
            self._step(entry, "claim_lost")
            self._read_logged_state(entry)
        self._place_jobs(entry.job.pool)

    @_record_ended.register
    def _cancel_ended(
        self, record: records.CancelJob, append_result: AuditEntry | LogUnavailableError
    ) -> None:
        entry = self._jobs.get(record.request_id)
        if entry is None or entry.state != "cancelling":
            return
        if isinstance(append_result, LogUnavailableError):
            self._step(entry, "log_unavailable")
            self._place_jobs(entry.job.pool)
        elif append_result.accepted:
            self._step(entry, "cancelled", error=cancelled_error())
        else:
            self._step(entry, "claim_lost")
            self._read_logged_state(entry)

    def _is_usable(self, entry: JobEntry) -> bool:
        """Return whether the worker of a claim can still run the job.

        The worker may have left or rebooted during the append of the claim, which can take seconds.
        """
        pool = self._pool(entry.job.pool)
        facts = pool.upstreams.get(entry.placed_on)
        if facts is None or facts.boot_id != entry.boot_id:
            return False
        return pool.health.state(entry.placed_on) in ("in_use", "probing")

    def _discard_conflicting_job(self, entry: JobEntry) -> None:
        """Refuse a job whose request ID another entry VM has recorded with a different body.

        The refusal concerns this body only, so it must not be returned for later queries of the ID.
        """
        self._step(entry, "refuse", error=different_body_error())
        self._jobs.pop(entry.job.request_id, None)
        self._finished_at_ms.pop(entry.job.request_id, None)

    def _read_logged_state(self, entry: JobEntry) -> None:
        """Read the logged state of another entry VM's job, which may have ended already."""
        reply_future: asyncio.Future[JobState | None] = new_reply()

        def read(done: asyncio.Future[JobState | None]) -> None:
            if not done.cancelled() and (logged_job := done.result()) is not None:
                self.tell_self(JobChanged(logged_job))

        reply_future.add_done_callback(read)
        self._journal.tell(ReadJob(entry.job.request_id, reply_future))

    @_record_ended.register
    def _transfer_ended(
        self, record: records.TransferRights, append_result: AuditEntry | LogUnavailableError
    ) -> None:
        self._ledger.ended(record)

    @_record_ended.register
    def _settle_ended(
        self, record: records.SettleRights, append_result: AuditEntry | LogUnavailableError
    ) -> None:
        self._ledger.ended(record)

    @_record_ended.register
    def _take_ended(
        self, record: records.TakeRights, append_result: AuditEntry | LogUnavailableError
    ) -> None:
        self._ledger.ended(record)

    # Changes of the view and of the VMs

    @receives(ViewChanged)
    def _on_view_changed(self, message: ViewChanged) -> None:
        previous, self._view = self._view, message.view
        was_behind = self._fresh_as_of_ms < self._pause_detected_ms
        self._fresh_as_of_ms = message.fresh_as_of_ms
        self._log_available = message.log_available
        self._loaded = message.loaded
        self._ledger.update(message.view.rights)
        if previous.config is not message.view.config or previous.members is not (
            message.view.members
        ):
            self._pools_changed(previous)
        if previous.vms is not message.view.vms:
            self._vms_changed()
        if previous.rights is not message.view.rights or was_behind:
            self._place_all_jobs()

    def _pools_changed(self, previous: FleetView) -> None:
        if previous.config.policies != self._view.config.policies:
            self._rebuild_pools()
        for facts in self._upstream_facts.values():
            self._share_connections(facts)

    def _rebuild_pools(self) -> None:
        """Move the waiting jobs and the upstreams to new pools with the changed policies."""
        self._pools = {}
        self._pool_name_of_upstream = {}
        self._slot_usage = fairqueue.SlotTimeLedger()
        for name in self._upstreams.keys() & self._view.vms.keys():
            self._assign_pool(name, self._view.vms[name].pool)
        for entry in self._jobs.values():
            if entry.state == "queued":
                weight = self._share_weight(entry.job.team)
                self._pool(entry.job.pool).enqueue(entry.job, weight, self._timer.now_ms())

    def _share_connections(self, facts: UpstreamFacts) -> None:
        # A worker's connections are divided among the entry VMs.
        member_count = max(1, len(self._view.members))
        facts.connection_limit_count = max(1, facts.spec.connection_count // member_count)

    def _vms_changed(self) -> None:
        for name in set(self._upstreams) - set(self._view.vms):
            self._drop_upstream(name)
        for name, vm in self._view.vms.items():
            upstream = self._upstreams.get(name)
            if upstream is not None and upstream.address != vm.spec.address:
                self._drop_upstream(name)
                upstream = None
            if upstream is None:
                self._add_upstream(vm.spec)
                self._upstream_facts[name] = UpstreamFacts(vm.spec)
            facts = self._upstream_facts[name]
            facts.spec = vm.spec
            self._share_connections(facts)
            facts.in_service = vm.state in ("in_service", "failed")
            self._assign_pool(name, vm.pool)

    def _assign_pool(self, name: str, pool_name: str) -> None:
        # The pool is looked up by name: a search of all pools for each VM took 15 ms at 1,300 VMs
        # and 68 pools.
        previous = self._pools.get(self._pool_name_of_upstream.get(name, pool_name))
        pool = self._pool(pool_name)
        if previous is not None and previous is not pool:
            previous.discard(name)
        self._pool_name_of_upstream[name] = pool_name
        pool.add(self._upstream_facts[name])
        pool.refresh(name)

    def _add_upstream(self, spec: VmSpec) -> None:
        upstream = Upstream(
            spec.name,
            spec.address,
            entry=self.entry,
            incarnation=self.incarnation,
            owner=self,
            timer=self._timer,
            connection_count=spec.connection_count,
            source_address=self._source_address,
        )
        self._upstreams[spec.name] = upstream
        upstream.start()

    def _drop_upstream(self, name: str) -> None:
        self.spawn(self._upstreams.pop(name).stop())
        self._pool_name_of_upstream.pop(name, None)
        for pool in self._pools.values():
            pool.discard(name)
        self._resolve_attempts_at(name)

    def _resolve_attempts_at(self, name: str) -> None:
        """Report the attempts at a stopped upstream as unanswered, so that they are resolved.

        Their calls have ended with the upstream's actor.
        """
        attempts = [entry.attempt for entry in self._jobs.values() if entry.attempt is not None]
        attempts += [attempt for attempt, _ in self._superseded_attempts.values()]
        for attempt in attempts:
            if attempt.worker == name:
                self.tell_self(AttemptEnded(attempt, Evidence("no_answer")))

    @receives(UpstreamChanged)
    def _on_upstream_changed(self, message: UpstreamChanged) -> None:
        if self.operations is not None:
            self.operations.tell(message)
        pool = self._pool_of_upstream(message.name)
        if pool is None:
            return
        if message.name in self._listed_leaving:
            message = evolve(message, leaving=True)
        pool.observe(message, self._timer.now_ms())
        self._fence_superseded_attempts(message.name)
        self._place_jobs(self._view.vms[message.name].pool)

    @receives(RefreshUpstreams)
    def _on_refresh_upstreams(self, message: RefreshUpstreams) -> None:
        for name in message.names:
            if name in self._upstreams:
                self._upstreams[name].tell(RenewLease())

    def _fence_superseded_attempts(self, worker: str) -> None:
        for attempt, boot_id in list(self._superseded_attempts.values()):
            if attempt.worker == worker:
                self._upstreams[worker].tell(FenceRequest(attempt, boot_id))

    @receives(LeavingVmsListed)
    def _on_vms_listed(self, message: LeavingVmsListed) -> None:
        for name in message.leaving - self._listed_leaving:
            if name in self._upstream_facts and (pool := self._pool_of_upstream(name)):
                self._upstream_facts[name].leaving = True
                pool.refresh(name)
        self._listed_leaving = message.leaving

    @receives(JobChanged)
    def _on_job_changed(self, message: JobChanged) -> None:
        logged_job = message.job
        if logged_job.outcome is None or logged_job.outcome is Outcome.OUTCOME_UNKNOWN:
            self._logged_jobs[logged_job.request_id] = logged_job
        else:
            self._logged_jobs.pop(logged_job.request_id, None)
        entry = self._jobs.get(logged_job.request_id)
        if entry is not None:
            self._apply_logged_state(entry, logged_job)

    def _apply_logged_state(self, entry: JobEntry, logged_job: JobState) -> None:
        if logged_job.outcome is Outcome.ANSWERED and JOB_CHART.accepts(
            entry.state, "recorded_result"
        ):
            entry.answer = Answer(logged_job.body, logged_job.succeeded)
            self._step(entry, "recorded_result")
        elif logged_job.outcome is Outcome.NOT_RUN and JOB_CHART.accepts(
            entry.state, "recorded_not_run"
        ):
            self._step(
                entry,
                "recorded_not_run",
                error=recorded_not_run_error(logged_job.code),
                recorded=True,
            )
        elif entry.state == "queued" and logged_job.claimed_by not in ("", self.incarnation):
            self._remove_from_queue(entry)
            self._step(entry, "claim_lost")

    @receives(PeersChanged)
    def _on_peers_changed(self, message: PeersChanged) -> None:
        self._peer_demands = message.peer_demands
        self._withdrawn_keys = message.withdrawn

    # Rights and adoption

    @receives(Rebalance)
    def _on_rebalance(self, _: Rebalance) -> None:
        now_ms = self._timer.now_ms()
        self._is_view_current(now_ms)
        self._last_tick_ms = now_ms
        if self._log_available and self._loaded and self.incarnation in self._view.members:
            self._move_rights()
            self._adopt_jobs()
        else:
            # No rights can be transferred, so none are kept free for peers.
            self._ledger.reserved_for_peers.clear()
        if self.peers is not None:
            missing_counts = {
                team: limits.missing_rights_count(self._ledger, team, count)
                for team, count in self._waiting_counts.items()
                if team
            }
            wanted = {team: count for team, count in missing_counts.items() if count}
            self.peers.tell(OwnDemand(wanted, self._loads()))
        self._evict_finished()
        self._place_all_jobs()
        self._check_drained()

    @receives(PlaceWaiting)
    def _on_place_waiting(self, _: PlaceWaiting) -> None:
        self._place_all_jobs()

    def _loads(self) -> dict[str, tuple[int, int]]:
        return {
            name: (sum(f.in_flight_count for f in pool.upstreams.values()), len(pool.waiting_jobs))
            for name, pool in self._pools.items()
        }

    def _place_all_jobs(self) -> None:
        for name, pool in self._pools.items():
            if len(pool.waiting_jobs):
                self._place_jobs(name)

    def _move_rights(self) -> None:
        member_count = len(self._view.members)
        waiting = {team: n for team, n in self._waiting_counts.items() if n > 0}
        for record in limits.plan_rights(
            self._ledger, waiting, self._peer_demands, member_count, draining=self._is_draining
        ):
            metrics.RIGHTS_MOVED.add(record.count)
            self._ledger.sent(record)
            self._append(record, self._timer.now_ms() + defaults.LOG_UNAVAILABLE_MS)

    def _adopt_jobs(self) -> None:
        """Adopt deferred jobs whose owner is no longer a member."""
        for logged_job in list(self._logged_jobs.values()):
            entry = self._jobs.get(logged_job.request_id)
            # A job in state "elsewhere" was also submitted here, but it still may need adoption.
            is_own = entry is not None and entry.state != "elsewhere"
            if is_own or logged_job.outcome is not None or not logged_job.queue:
                continue
            owner = logged_job.claimed_by or logged_job.owner
            if owner not in self._view.members and self._is_adopter(logged_job.request_id):
                self._adopt(logged_job)

    def _is_adopter(self, request_id: str) -> bool:
        members = sorted(self._view.members)
        # Rendezvous hashing: all entry VMs with the same list of members choose the same adopter.
        best = max(members, key=lambda inc: _rendezvous_weight(request_id, inc))
        return best == self.incarnation and not self._is_draining

    def _adopt(self, logged_job: JobState) -> None:
        queue = self._view.config.queue(logged_job.queue)
        if queue is None:
            return
        job = Job(
            request_id=logged_job.request_id,
            queue=logged_job.queue,
            team=logged_job.team,
            payload=logged_job.payload,
            body_digest=logged_job.body_digest,
            declared_run_ms=logged_job.declared_run_ms,
            deadline_ms=float("inf"),
            guarded=queue.guarded,
            mode=Mode.DEFERRED,
            pool=queue.pool,
        )
        submitted = self._jobs.get(logged_job.request_id)
        waiters = submitted.waiters if submitted else []
        entry = JobEntry(job, claim_epoch=logged_job.claim_epoch, waiters=waiters)
        self._jobs[job.request_id] = entry
        if not logged_job.claimed_by:
            self._step(entry, "adopt")
            return
        entry.boot_id = logged_job.claimed_boot_id
        age_ms = max(0, self._timer.wall_ms() - logged_job.claimed_at_ms)
        entry.attempt = Attempt(
            f"claim-{logged_job.claim_epoch}",
            job.request_id,
            logged_job.claimed_worker,
            guarded=job.guarded,
            team=job.team,
            placed_at_ms=self._timer.now_ms() - age_ms,
        )
        self._step(entry, "adopt_claimed")

    def _evict_finished(self) -> None:
        oldest_ms = self._timer.now_ms() - defaults.RESULT_RETENTION_MS
        while self._finished_at_ms:
            request_id = next(iter(self._finished_at_ms))
            if self._finished_at_ms[request_id] > oldest_ms:
                return
            del self._finished_at_ms[request_id]
            self._jobs.pop(request_id, None)


def _rendezvous_weight(request_id: str, incarnation: str) -> int:
    digest = hashlib.blake2b(f"{request_id}/{incarnation}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
