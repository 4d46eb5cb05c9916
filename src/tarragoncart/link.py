"""Link to one upstream: sends it orders, renews its lease and polls it for its runs."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Protocol

from . import defaults
from .errors import (
    TarragoncartError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from .fencing import FencingTokens
from .graph import UpstreamEntry
from .leases import ClockReading, LeaseEstimate
from .mailbox import Actor, receives
from .runorders import (
    NOT_SENT_IN_TIME,
    Acknowledge,
    ExtendPermission,
    FencedByUpstream,
    PaceOutcome,
    PollFailed,
    PollUpstream,
    RejectLateStart,
    ReportReceived,
    SetPace,
    Start,
    StartOutcome,
    Stop,
    StopConfirmed,
)
from .runs import StartOrder, UpstreamReport
from .timer import Timer

logger = logging.getLogger(__name__)


class UpstreamCalls(Protocol):
    """The calls to an upstream that a link uses."""

    async def start(self, order: StartOrder, until_ms: int, token: int) -> int: ...

    async def stop(self, task_name: str, run: int, token: int) -> int: ...

    async def pace(self, task_name: str, run: int, percent: int, token: int) -> int: ...

    async def renew_lease(
        self, *, until_ms: int | None, acknowledged: int, wait_ms: int, token: int
    ) -> UpstreamReport: ...

    async def close(self) -> None: ...


ClientFactory = Callable[[str, str], UpstreamCalls]


class Link(Actor):
    """Owns the connections to one upstream.

    :param tokens: issues the fencing tokens with which the upstream refuses orders of earlier
        leaders and orders for earlier incarnations.
    :param lease_ms: duration of the lease that each poll renews.
    :param lease_max_ms: longest lease that the upstream grants.
    :param listener: receives reports and outcomes.
    """

    def __init__(
        self,
        entry: UpstreamEntry,
        tokens: FencingTokens,
        lease_ms: int,
        lease_max_ms: int,
        make_client: ClientFactory,
        listener: Actor,
        timer: Timer,
    ) -> None:
        super().__init__(f"link {entry.upstream_id}")
        self._upstream_id = entry.upstream_id
        self._tokens = tokens
        self._token = tokens.issue()
        # Token of a new incarnation until a poll with it is answered; before, the incarnation takes
        # orders for an earlier one.
        self._unseen_token: int | None = None
        # Polls under way that acknowledge ends with the current token.
        self._acknowledging_count = 0
        self._lease = LeaseEstimate(lease_ms, lease_max_ms)
        # The upstream's clock in its last report; None if another incarnation may have answered.
        self._reading: ClockReading | None = None
        self._client = make_client(entry.upstream_id, entry.address)
        self._listener = listener
        self._timer = timer
        self._permitted_until_ms = 0.0
        # Numbers of the last end that is stored, and of the last one acknowledged to the upstream.
        self._stored_end_number = 0
        self._acknowledged_end_number = 0
        self._wake = asyncio.Event()
        self._last_poll_answered = True
        self._started_ms = 0
        self._late_starts: set[tuple[str, int]] = set()
        # Runs whose stop is being sent, with an event that ends the pause before the next try.
        self._stopping: dict[tuple[str, int], asyncio.Event] = {}

    async def on_open(self) -> None:
        """Start polling the upstream."""
        self.spawn_loop(self._poll_repeatedly)

    @receives(ExtendPermission)
    def on_extend_permission(self, message: ExtendPermission) -> None:
        """Set the time until which orders may be sent."""
        self._permitted_until_ms = message.valid_until_ms

    @receives(Acknowledge)
    def on_acknowledge(self, message: Acknowledge) -> None:
        """Acknowledge stored ends with the next poll.

        Ignored if the upstream has started again since it listed them.
        """
        if message.started_ms == self._started_ms and message.number > self._stored_end_number:
            self._stored_end_number = message.number
            self._wake.set()

    @receives(Start)
    def on_start(self, message: Start) -> None:
        """Send a start."""
        self.spawn(self._start(message.order, message.send_until_ms))

    @receives(Stop)
    def on_stop(self, message: Stop) -> None:
        """Send a stop."""
        key = (message.task_name, message.run)
        if key in self._stopping:
            self._stopping[key].set()
            return
        self._stopping[key] = asyncio.Event()
        self.spawn(self._stop_once(key))

    async def _stop_once(self, key: tuple[str, int]) -> None:
        try:
            await self._stop(*key)
        finally:
            del self._stopping[key]

    @receives(RejectLateStart)
    def on_reject_late_start(self, message: RejectLateStart) -> None:
        """Stop the run; the upstream then refuses its start."""
        self._late_starts.add((message.task_name, message.run))
        self.spawn(self._reject_late_start(message.task_name, message.run))

    async def _reject_late_start(self, task_name: str, run: int) -> None:
        await self._stop(task_name, run)
        self._late_starts.discard((task_name, run))

    @receives(PollUpstream)
    def on_poll_upstream(self, message: PollUpstream) -> None:
        """Poll once, without waiting for the end of a run."""
        self.spawn(self._poll_later(message.delay_ms))

    @receives(SetPace)
    def on_set_pace(self, message: SetPace) -> None:
        """Send a new pace."""
        self.spawn(self._pace(message))

    def _permitted(self) -> bool:
        return self._timer.now_ms() < self._permitted_until_ms

    def _recent_reading(self) -> ClockReading | None:
        """Return the reading of the clock if the latest poll was answered, and recently enough.

        Another incarnation has another clock, which may be far behind, so that a lease by the clock
        of an earlier one would last for as long as the upstream allows.
        """
        reading = self._reading
        if reading is None or not self._last_poll_answered:
            return None
        age_ms = self._timer.now_ms() - reading.read_ms
        return reading if age_ms < defaults.UPSTREAM_SILENT_MS else None

    def _renewed_lease_end_ms(self) -> int | None:
        """Extend the lease; return its end on the upstream's clock, None if that is unknown."""
        reading = self._recent_reading()
        if reading is None or self._late_starts:
            return None
        return self._lease.renew(reading, self._timer.now_ms())

    async def _start(self, order: StartOrder, send_until_ms: float) -> None:
        outcome, reason = "accepted", ""
        self._supersede_acknowledgement()
        token, sent_ms = self._token, self._timer.now_ms()
        expected_started_ms = self._started_ms
        until_ms: int | None = None
        if not self._permitted():
            reason = "not permitted"
        elif sent_ms >= send_until_ms:
            reason = NOT_SENT_IN_TIME
        else:
            until_ms = self._renewed_lease_end_ms()
            reason = "upstream does not answer" if until_ms is None else ""
        if until_ms is None:
            outcome = "refused"
        else:
            try:
                clock_ms = await self._client.start(order, until_ms, token)
            except UpstreamRefusedError as error:
                outcome, reason = "refused", error.reason
            except UpstreamUnreachableError as error:
                outcome, reason = "refused", str(error)
            except TarragoncartError as error:
                outcome, reason = "unanswered", str(error)
                self._lease.note_unanswered(sent_ms)
                self._renew_token(token)
            else:
                self._lease.note_granted(until_ms, clock_ms, self._timer.now_ms())
                self._check_clock("start", clock_ms, sent_ms, expected_started_ms)
        self._report_if_fenced(reason, token)
        self._listener.tell(
            StartOutcome(
                self._upstream_id,
                order.task_name,
                order.run,
                outcome,
                reason,
                self._lease.end_ms,
                self._lease.unanswered_sent_ms,
            )
        )

    def _check_clock(
        self, call: str, clock_ms: int, sent_ms: float, expected_started_ms: int
    ) -> None:
        """Stop using the reading of the clock if the answer to a call shows another incarnation.

        :param clock_ms: the upstream's clock in the answer.
        :param sent_ms: when the call was sent.
        :param expected_started_ms: start time of the incarnation for which it was sent.
        """
        reading = self._reading
        if reading is None or expected_started_ms != self._started_ms:
            return
        if sent_ms - reading.read_ms >= defaults.UPSTREAM_SILENT_MS:
            # The drift of the clock since then exceeds the tolerance.
            return
        expected_ms = reading.estimate_ms(sent_ms)
        if expected_ms - clock_ms <= defaults.CLOCK_BEHIND_TOLERANCE_MS:
            return
        now_ms = self._timer.now_ms()
        self._lease.note_misdirected(now_ms)
        self._reading = None
        logger.warning(
            "call answered by another incarnation: its clock is behind the estimate",
            extra={
                "call": call,
                "upstream": self._upstream_id,
                "clock_ms": clock_ms,
                "expected_ms": round(expected_ms),
                "started_ms": self._started_ms,
                "lease_left_ms": round(self._lease.end_ms - now_ms),
            },
        )
        self.spawn(self._poll())

    async def _stop(self, task_name: str, run: int) -> None:
        delay_ms = defaults.STORE_RETRY_MS
        ordered_ms = self._timer.now_ms()
        failed_count = 0
        while True:
            if not self._permitted():
                # Leadership may be confirmed again; if it is lost, this link is stopped.
                await asyncio.sleep(defaults.STORE_RETRY_MS / 1_000)
                continue
            token, sent_ms = self._token, self._timer.now_ms()
            expected_started_ms = self._started_ms
            try:
                clock_ms = await self._client.stop(task_name, run, token)
            except TarragoncartError as error:
                reason = getattr(error, "reason", "")
                failed_count += 1
                self._report_if_fenced(reason, token)
                if reason == "instance" or self._fenced(reason, token):
                    self._log_stop("stop given up", task_name, run, ordered_ms, reason=reason)
                    return
                if failed_count == 1:
                    text = "stop failed; repeating it"
                    self._log_stop(text, task_name, run, ordered_ms, reason=reason or str(error))
                await self._pause_stop((task_name, run), delay_ms)
                delay_ms = min(2 * delay_ms, 1_000)
            else:
                self._check_clock("stop", clock_ms, sent_ms, expected_started_ms)
                text = "stop confirmed"
                self._log_stop(text, task_name, run, ordered_ms, failed_count=failed_count)
                self._listener.tell(StopConfirmed(self._upstream_id, task_name, run))
                return

    async def _pause_stop(self, key: tuple[str, int], delay_ms: float) -> None:
        """Wait before the next try to send a stop; a report that still lists the run ends that."""
        repeated = self._stopping.get(key)
        if repeated is None:
            await asyncio.sleep(delay_ms / 1_000)
            return
        repeated.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(repeated.wait(), delay_ms / 1_000)

    def _log_stop(
        self, text: str, task_name: str, run: int, ordered_ms: float, **inputs: str | int
    ) -> None:
        logger.info(
            text,
            extra={
                "task": task_name,
                "run": run,
                "upstream": self._upstream_id,
                "epoch": self._tokens.epoch,
                "after_ms": round(self._timer.now_ms() - ordered_ms),
                **inputs,
            },
        )

    async def _pace(self, order: SetPace) -> None:
        if not self._permitted():
            return
        outcome = "accepted"
        token = self._token
        try:
            await self._client.pace(order.task_name, order.run, order.percent, token)
        except TarragoncartError as error:
            # Not retried here: a later report shows which pace is due by then.
            reason = getattr(error, "reason", "")
            self._report_if_fenced(reason, token)
            repeatable = reason in ("", "unhealthy") or self._superseded(reason, token)
            outcome = "unanswered" if repeatable else "refused"
            logger.info(
                "pace could not be set",
                extra={
                    "task": order.task_name,
                    "run": order.run,
                    "upstream": self._upstream_id,
                    "percent": order.percent,
                    "reason": str(error),
                },
            )
        self._listener.tell(PaceOutcome(order.task_name, order.run, order.percent, outcome))

    def _fenced(self, reason: str, token: int) -> bool:
        """Return whether the upstream has refused an order because of another leader."""
        return reason == "fence" and token == self._token

    def _superseded(self, reason: str, token: int) -> bool:
        """Return whether the upstream has refused an order for a later token of this link."""
        return reason == "fence" and token != self._token

    def _report_if_fenced(self, reason: str, token: int) -> None:
        if self._fenced(reason, token):
            self._listener.tell(FencedByUpstream(self._upstream_id))

    def _renew_token(self, token: int) -> None:
        """Issue a new token after an order without an answer.

        An upstream that has seen a later order then refuses it if it is carried out late.
        """
        if token == self._token:
            self._issue_token()

    def _issue_token(self) -> None:
        self._token = self._tokens.issue()
        self._acknowledging_count = 0

    def _supersede_acknowledgement(self) -> None:
        """Issue a new token for a start that is sent while a poll acknowledges ends.

        If another incarnation takes the start, it refuses the acknowledgement, which would drop the
        unread end of the run.
        """
        if self._acknowledging_count:
            self._issue_token()

    async def _poll_repeatedly(self) -> None:
        wait_ms = 0
        while True:
            if not self._permitted():
                await asyncio.sleep(defaults.STORE_RETRY_MS / 1_000)
                continue
            renew_now = self._recent_reading() is None
            report = await self._poll(wait_ms)
            if report is None:
                await asyncio.sleep(defaults.STORE_RETRY_MS / 1_000)
                continue
            wait_ms = 0 if renew_now else defaults.UPSTREAM_WAIT_MS
            await self._wait_for_acknowledgement(report)

    async def _poll_later(self, delay_ms: float) -> None:
        if delay_ms:
            await asyncio.sleep(delay_ms / 1_000)
        if self._permitted():
            await self._poll()

    async def _poll(self, wait_ms: int = 0) -> UpstreamReport | None:
        """Renew the lease and forward the upstream's report; returns None without a report.

        :param wait_ms: how long the upstream may wait for the end of a run before it answers.
        """
        requested_ms, token = self._timer.now_ms(), self._token
        expected_started_ms = self._started_ms
        acknowledged = self._due_acknowledgement()
        # The upstream may have received a renewal without an answer. Repeated renewals would
        # postpone forever the time at which its runs count as ended.
        until_ms = self._renewed_lease_end_ms()
        self._acknowledging_count += acknowledged > 0
        try:
            report = await self._client.renew_lease(
                until_ms=until_ms, acknowledged=acknowledged, wait_ms=wait_ms, token=token
            )
        except TarragoncartError as error:
            reason = getattr(error, "reason", "") or str(error)
            if self._superseded(reason, token):
                return None
            if until_ms is not None:
                self._lease.note_unanswered(requested_ms)
            self._note_failed_poll(reason, token)
            if until_ms is not None or acknowledged:
                self._renew_token(token)
            return None
        if acknowledged and token == self._token:
            self._acknowledging_count -= 1
        self._last_poll_answered = True
        if report.started_ms < self._started_ms:
            # A late answer of an earlier incarnation.
            return None
        if report.started_ms > self._started_ms:
            self._note_incarnation(report)
        else:
            if expected_started_ms == self._started_ms:
                self._acknowledged_end_number = max(self._acknowledged_end_number, acknowledged)
            if self._unseen_token is not None and token >= self._unseen_token:
                self._unseen_token = None
                self._lease.note_misdirected(self._timer.now_ms())
        # The upstream read its clock when it answered. Paired with the time of the request, the
        # clock would seem ahead by the wait, and leases would last longer than expected here.
        self._reading = ClockReading(report.clock_ms, self._timer.now_ms())
        self._listener.tell(
            ReportReceived(self._upstream_id, report, requested_ms, self._lease.end_ms)
        )
        return report

    def _due_acknowledgement(self) -> int:
        """Return the number of the last end to acknowledge with the next poll, 0 for none.

        It is sent until a poll with it is answered, and only to the incarnation that answered just
        before: a new one numbers its ends from 1 and would drop ends that the leader has not
        received.
        """
        reading = self._recent_reading()
        if reading is None or self._stored_end_number <= self._acknowledged_end_number:
            return 0
        age_ms = self._timer.now_ms() - reading.read_ms
        return self._stored_end_number if age_ms <= defaults.ACKNOWLEDGE_READING_MAX_AGE_MS else 0

    def _note_failed_poll(self, reason: str, token: int) -> None:
        self._report_if_fenced(reason, token)
        self._last_poll_answered = False
        self._listener.tell(
            PollFailed(
                self._upstream_id,
                reason,
                reason == "instance",
                self._lease_end_at_failure_ms(),
                self._lease.unanswered_sent_ms,
            )
        )

    def _lease_end_at_failure_ms(self) -> float:
        """Return the time by which all runs end that the silent upstream has confirmed.

        An incarnation that has answered, but has seen no token of its own, may still take an order
        for an earlier one, which extends the lease of its confirmed runs.
        """
        answered_without_report = self._started_ms > 0 and self._reading is None
        if answered_without_report or self._unseen_token is not None:
            return max(self._lease.end_ms, self._lease.unanswered_end_ms)
        return self._lease.end_ms

    def _note_incarnation(self, report: UpstreamReport) -> None:
        """Note that the upstream has reported for the first time, or has started again.

        An incarnation takes orders for an earlier one until it has seen a token of its own, with
        which it is polled at once.
        """
        now_ms = self._timer.now_ms()
        if self._started_ms:
            self._log_new_incarnation(report)
            self._lease.note_misdirected(now_ms)
            self._issue_token()
            self._unseen_token = self._token
            self.spawn(self._poll_later(0.0))
        else:
            self._lease.note_inherited(self._birth_ms(report, now_ms), now_ms)
        self._stored_end_number = self._acknowledged_end_number = 0
        self._started_ms = report.started_ms

    def _birth_ms(self, report: UpstreamReport, now_ms: float) -> float:
        """Return the local time of the upstream's start, or a later one.

        Its clock starts anew at any value, so that it only limits the age. Wall clocks may differ.
        """
        return now_ms - min(report.clock_ms, self._timer.wall_ms() - report.started_ms)

    def _log_new_incarnation(self, report: UpstreamReport) -> None:
        logger.info(
            "another incarnation of the upstream has answered",
            extra={
                "upstream": self._upstream_id,
                "started_ms": report.started_ms,
                "earlier_started_ms": self._started_ms,
                "clock_ms": report.clock_ms,
                "live_count": len(report.live),
                "lease_left_ms": round(self._lease.end_ms - self._timer.now_ms()),
            },
        )

    async def _wait_for_acknowledgement(self, report: UpstreamReport) -> None:
        """Wait until the reported ends are stored, up to ``ACKNOWLEDGE_WAIT_MS``.

        The next poll would return at once with the same ends. If earlier ends are stored, it
        acknowledges them and is sent at once, as only a recent answer permits that.
        """
        if not report.ended or self._stored_end_number > self._acknowledged_end_number:
            return
        last = report.ended[-1].number
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + defaults.ACKNOWLEDGE_WAIT_MS / 1_000
        while self._stored_end_number < last:
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), max(0.0, deadline_s - loop.time()))
            except TimeoutError:
                return

    async def on_close(self) -> None:
        """Close the connections."""
        await self._client.close()
