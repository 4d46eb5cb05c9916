"""Processes callers' requests: accepts jobs, cancels them and answers queries about them."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from attrs import frozen

from . import defaults, intake, metrics
from .decoding import is_identifier
from .errors import RequestError, TarragoncartError
from .graph import JobSpec, QueueRule, Rules, Submission
from .jobmodel import ENDED
from .leadership import FindLeader, Leader
from .loading import Backlog, QueryBacklog
from .mailbox import Actor, new_reply, receives, resolve
from .scheduler import CountPending, JobView, Lookup, PendingView, Scheduler
from .timer import Timer
from .writer import REJECTED, STORED, Write, Writer

logger = logging.getLogger(__name__)


class PeerCalls(Protocol):
    """Queries to the leader on another entry VM."""

    async def lookup(self, address: str, job_id: str) -> JobView: ...

    async def count_pending(self, address: str, queue: str) -> PendingView: ...

    async def read_backlog(self, address: str) -> Backlog: ...

    async def close(self) -> None: ...


@frozen
class CurrentRules:
    """The newest configuration that this entry VM has read.

    :param as_of_ms: no newer configuration was stored before this time.
    """

    rules: Rules
    as_of_ms: float


@frozen
class CurrentLeader:
    """The current leader as far as it is known.

    :param leader: None before the first leader is known.
    :param scheduler: the local scheduler while this entry VM leads, otherwise None.
    """

    leader: Leader | None
    scheduler: Scheduler | None


@frozen
class RequestContext:
    """The headers and path of a caller's request.

    :param key: API key, empty if there is none.
    :param received_ms: monotonic time at which the request was received.
    :param deadline_ms: how long the caller waits for the answer, 0 if not given.
    """

    hostname: str
    path: str
    key: str
    received_ms: float
    deadline_ms: int = 0


@frozen
class Submit:
    """Accept a job."""

    context: RequestContext
    spec: JobSpec
    reply: asyncio.Future[Any]


@frozen
class Query:
    """Query the phase of a job, or the number of a queue's jobs that have not started."""

    context: RequestContext
    reply: asyncio.Future[Any]


@frozen
class Cancel:
    """Cancel a job."""

    context: RequestContext
    reply: asyncio.Future[Any]


@frozen
class Finish:
    """Refuse new requests and answer those in progress, before the entry VM stops.

    :param timeout_ms: time after which the requests that are still in progress are answered without
        their outcome.
    :param reply: resolved when all requests are answered.
    """

    timeout_ms: float
    reply: asyncio.Future[None]


@frozen
class Accepted:
    """The job or its cancellation is stored."""


@frozen
class Phase:
    """Phase of a job."""

    phase: str


@frozen
class PendingCount:
    """Number of a queue's jobs that have not started."""

    count: int


class RequestHandler(Actor):
    """Processes the requests of one entry VM's callers.

    :param writers: writers of the intake topic's partitions; the second one stores records that
        the store refused for the first.
    :param key_freshness_ms: longest time for which a withdrawn API key may still be accepted.
    :param config_freshness_ms: time within which a new configuration must be in force.
    """

    def __init__(
        self,
        writers: Sequence[Writer],
        peers: PeerCalls,
        election: Actor,
        timer: Timer,
        *,
        key_freshness_ms: int,
        config_freshness_ms: int,
    ) -> None:
        super().__init__("entrance")
        self._writers = writers
        self._peers = peers
        self._election = election
        self._timer = timer
        self._key_freshness_ms = key_freshness_ms * defaults.KEY_FRESHNESS_RATIO
        self._config_freshness_ms = config_freshness_ms
        self._rules: Rules | None = None
        self._as_of_ms = 0.0
        self._leadership = CurrentLeader(None, None)
        self._requests: set[asyncio.Task[None]] = set()
        self._finishing = False
        self._backlog = Backlog()
        self._backlog_read_ms = self._backlog_asked_ms = float("-inf")

    @receives(CurrentRules)
    def on_rules(self, message: CurrentRules) -> None:
        """Store the configuration and the time at which it was current."""
        self._rules = message.rules
        self._as_of_ms = message.as_of_ms

    @receives(CurrentLeader)
    def on_leader(self, message: CurrentLeader) -> None:
        """Store the current leader."""
        self._leadership = message

    @property
    def rules_age_ms(self) -> float:
        """Age of the configuration; infinite before the first one is known."""
        if self._rules is None:
            return float("inf")
        return self._timer.now_ms() - self._as_of_ms

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new callers to this entry VM."""
        return (
            self.rules_age_ms < defaults.READY_RULES_MAX_AGE_MS
            and self._stalled_ms < defaults.STORE_STALL_MS
        )

    @property
    def _stalled_ms(self) -> float:
        """Time for which the primary writer's append in progress has had no answer."""
        return self._writers[0].stalled_ms

    # Authorization.

    def _authorize(self, context: RequestContext) -> tuple[QueueRule, str, str]:
        """Return queue, account and the part of the path after the queue's prefix.

        :raises RequestError: if the request is refused.
        """
        if self._finishing:
            raise _refusal("the entry VM is stopping", "stopping", 503)
        rules, age_ms = self._rules, self.rules_age_ms
        if rules is None:
            raise _refusal("no configuration yet", "no_configuration", 503)
        fresh = age_ms <= self._config_freshness_ms
        queue = rules.find_queue(context.hostname, context.path)
        if queue is None:
            if not fresh:
                raise _refusal("configuration is too old to find queues", "view_too_old", 503)
            raise _refusal("there is no such queue", "unknown_queue", 404)
        account = rules.accounts_by_key.get(context.key, "")
        if not queue.public:
            if age_ms > self._key_freshness_ms:
                raise _refusal("configuration is too old to check keys", "view_too_old", 503)
            if not account:
                if not fresh:
                    raise _refusal("configuration is too old to check keys", "view_too_old", 503)
                raise _refusal("key is not valid", "unknown_key", 401)
        return queue, account, context.path[len(queue.path_prefix) :]

    # Submissions.

    @receives(Submit)
    def on_submit(self, message: Submit) -> None:
        """Store a job, or refuse it."""
        context = message.context
        try:
            queue, account, job_id = self._authorize(context)
            if not is_identifier(job_id):
                raise _refusal("ID is malformed", "invalid", 400)
            if self._stalled_ms > defaults.STORE_STALL_MS:
                raise _refusal("the store does not answer", "store_unavailable", 503)
            self._check_backlog(account)
        except RequestError as error:
            self._refuse(context, error, message.reply)
            return
        accepted_ms = self._timer.wall_ms()
        submission = Submission.to_queue(queue, job_id, account, accepted_ms, message.spec)
        self._run_request(self._store(context, submission, message.reply), context, message.reply)

    def _check_backlog(self, account: str) -> None:
        """Refuse a job of an account that waits for the leader's memory with too many others.

        The leader's memory has its bound without this, as it leaves in the store what it has no
        memory for. Refusing jobs bounds the waiting time of those accepted, and the store.

        :raises RequestError: 429, with the expected time until there is room.
        """
        now_ms = self._timer.now_ms()
        age_ms = now_ms - self._backlog_read_ms
        # Usually there is no backlog, and the leader's processor time is scarce.
        interval_ms = defaults.BACKLOG_INTERVAL_MS
        if self._backlog.pauses_ms:
            interval_ms = defaults.BACKLOG_INTERVAL_FULL_MS
        if now_ms - self._backlog_asked_ms >= interval_ms:
            self._backlog_asked_ms = now_ms
            self.spawn(self._read_backlog())
        pause_ms = self._backlog.pauses_ms.get(account)
        if pause_ms is None or age_ms > defaults.BACKLOG_MAX_AGE_MS:
            return
        retry_after_s = math.ceil(min(pause_ms, defaults.BACKLOG_RETRY_MAX_MS) / 1_000)
        raise RequestError(
            "too many jobs of the account wait for the leader",
            code="account_backlog",
            status=429,
            step="answer caller",
            limit="jobs left in the store",
            retry_after_s=max(1, retry_after_s),
        )

    async def _read_backlog(self) -> None:
        sent_ms = self._timer.now_ms()
        try:
            backlog = await self._query_once(
                lambda scheduler, reply: scheduler.tell(QueryBacklog(reply)),
                self._peers.read_backlog,
            )
        except (TarragoncartError, TimeoutError) as error:
            logger.info("backlog of the leader is not known", extra={"reason": str(error)})
            return
        if backlog is not None:
            self._backlog, self._backlog_read_ms = backlog, sent_ms

    async def _store(
        self, context: RequestContext, submission: Submission, reply: asyncio.Future[Any]
    ) -> None:
        await self._write(intake.submission_record(submission))
        self._record_answer(context, submission.queue, "accepted")
        logger.info(
            "job accepted",
            extra={
                "job": submission.job_id,
                "queue": submission.queue,
                "account": submission.account,
                "rules_version": self._rules.version if self._rules else 0,
                "rules_age_ms": round(self.rules_age_ms),
                "after_ms": round(self._timer.now_ms() - context.received_ms),
            },
        )
        resolve(reply, Accepted())

    async def _write(self, record: tuple[str, bytes]) -> None:
        """Store a record in the first partition whose append is not refused.

        :raises RequestError: 503 if it is not and will not be stored, 504 if that is not known, 413
            if the store can never accept the record.
        """
        # A partition may be down while others are up. If a partition does not answer, the next one
        # is not tried: usually the whole store is unreachable then and would not answer either.
        for writer in self._writers:
            outcome = await self._try_write(writer, record)
            if outcome == STORED:
                return
            if outcome == REJECTED:
                raise _refusal("record is too large to be stored", "too_large", 413)
        raise _refusal("the store refused the record", "store_unavailable", 503)

    async def _try_write(self, writer: Writer, record: tuple[str, bytes]) -> str:
        stored = new_reply()
        writer.tell(Write((record,), stored))
        timeout_ms = defaults.SUBMIT_TIMEOUT_MS
        try:
            return await asyncio.wait_for(asyncio.shield(stored), timeout_ms / 1_000)
        except TimeoutError:
            if writer.withdraw(stored):
                raise _refusal("the store does not answer", "store_unavailable", 503) from None
            raise _refusal("the store has not answered", "outcome_unknown", 504) from None

    # Queries and cancellations.

    @receives(Query)
    def on_query(self, message: Query) -> None:
        """Query the leader about a job or a queue."""
        context = message.context
        try:
            queue, _, job_id = self._authorize(context)
            if job_id:
                _check_job_can_exist(job_id)
        except RequestError as error:
            self._refuse(context, error, message.reply)
            return
        work = self._query_phase(job_id) if job_id else self._query_pending_count(queue.name)
        self._run_request(self._answer(work, context, message.reply), context, message.reply)

    async def _answer(
        self, work: Coroutine[Any, Any, Any], context: RequestContext, reply: asyncio.Future[Any]
    ) -> None:
        resolve(reply, await work)
        self._record_answer(context, "", "told")

    async def _query_phase(self, job_id: str) -> Phase:
        """Query the phase of a job.

        A final phase is stored and never changes, so it is given whatever the age of the view.

        :raises RequestError: 410 if there is no such job, 503 if that cannot be determined.
        """
        view = await self._query_leader(
            lambda scheduler, reply: scheduler.tell(Lookup(job_id, reply)),
            lambda address: self._peers.lookup(address, job_id),
        )
        if view.phase in ENDED:
            return Phase(view.phase)
        if view.phase:
            # Newer submissions don't change the phase of a known job; a new leader may.
            _check_proven(math.isfinite(view.view_age_ms))
            return Phase(view.phase)
        _check_proven(view.view_age_ms <= defaults.INTAKE_VIEW_MAX_AGE_MS)
        raise _refusal("there is no such job", "unknown_job", 410)

    async def _query_pending_count(self, queue: str) -> PendingCount:
        """Count a queue's jobs that have not started.

        :raises RequestError: 503 if jobs may be missing in the count.
        """
        view = await self._query_leader(
            lambda scheduler, reply: scheduler.tell(CountPending(queue, reply)),
            lambda address: self._peers.count_pending(address, queue),
        )
        _check_proven(view.view_age_ms <= defaults.INTAKE_VIEW_MAX_AGE_MS)
        return PendingCount(view.count)

    async def _query_leader(self, query_local: Any, query_remote: Any) -> Any:
        for _ in range(defaults.LOOKUP_TRY_COUNT):
            leader = self._leadership.leader
            reason = "no leader is known"
            try:
                answer = await self._query_once(query_local, query_remote)
                if answer is not None:
                    return answer
            except (TarragoncartError, TimeoutError) as error:
                reason = str(error)
            logger.info(
                "leader did not answer",
                extra={"leader": leader.name if leader else "", "reason": reason},
            )
            self._election.tell(FindLeader())
            await asyncio.sleep(defaults.LOOKUP_RETRY_MS / 1_000)
        raise _refusal("the leader cannot be reached", "leader_unavailable", 503)

    async def _query_once(self, query_local: Any, query_remote: Any) -> Any:
        """Query the leader here or at its address; return None if no leader is known."""
        leader, scheduler = self._leadership.leader, self._leadership.scheduler
        if scheduler is not None:
            reply = new_reply()
            query_local(scheduler, reply)
            return await asyncio.wait_for(reply, defaults.LOOKUP_TIMEOUT_MS / 1_000)
        if leader is not None:
            return await query_remote(leader.address)
        return None

    @receives(Cancel)
    def on_cancel(self, message: Cancel) -> None:
        """Store a cancellation."""
        context = message.context
        try:
            _, _, job_id = self._authorize(context)
            _check_job_can_exist(job_id)
        except RequestError as error:
            self._refuse(context, error, message.reply)
            return
        self._run_request(self._cancel(context, job_id, message.reply), context, message.reply)

    async def _cancel(
        self, context: RequestContext, job_id: str, reply: asyncio.Future[Any]
    ) -> None:
        # Whether the leader knows the job does not matter: its view may be older than the job, and
        # a submission without an answer may be stored after the cancellation.
        await self._write(intake.cancel_record(job_id, self._timer.wall_ms()))
        elapsed_ms = round(self._timer.now_ms() - context.received_ms)
        logger.info("cancel accepted", extra={"job": job_id, "after_ms": elapsed_ms})
        resolve(reply, Accepted())

    # Answers.

    def _record_answer(self, context: RequestContext, queue: str, outcome: str) -> None:
        metrics.REQUESTS.add(1, metrics.labels(queue=queue, outcome=outcome))
        elapsed_ms = self._timer.now_ms() - context.received_ms
        metrics.REQUEST_DURATION.record(elapsed_ms, metrics.labels(outcome=outcome))

    def _run_request(
        self, work: Coroutine[Any, Any, None], context: RequestContext, reply: asyncio.Future[Any]
    ) -> None:
        async def guarded() -> None:
            try:
                await work
            except RequestError as error:
                self._refuse(context, error, reply)
            except asyncio.CancelledError:
                unknown = _refusal("the entry VM is stopping", "outcome_unknown", 504)
                self._refuse(context, unknown, reply)
                raise
            except Exception:
                # The caller would wait for its deadline; a record may have been written.
                logger.exception("request failed", extra={"path": context.path})
                unknown = _refusal("unexpected error", "outcome_unknown", 504)
                self._refuse(context, unknown, reply)

        request = self.spawn(guarded())
        self._requests.add(request)
        request.add_done_callback(self._requests.discard)

    def _refuse(
        self, context: RequestContext, error: RequestError, reply: asyncio.Future[Any]
    ) -> None:
        metrics.REFUSALS.add(1, metrics.labels(code=error.code))
        self._record_answer(context, "", error.code)
        logger.info(
            "request refused",
            extra={
                "path": context.path,
                "code": error.code,
                "status": error.status,
                "rules_age_ms": None if self._rules is None else round(self.rules_age_ms),
                "rules_version": self._rules.version if self._rules else 0,
                "after_ms": round(self._timer.now_ms() - context.received_ms),
            },
        )
        # Its frames refer to the reply: the job would stay until the garbage collector runs.
        resolve(reply, error.with_traceback(None))

    # Planned stop.

    @receives(Finish)
    def on_finish(self, message: Finish) -> None:
        """Refuse new requests and answer those in progress."""
        self._finishing = True
        self.spawn(self._finish(message))

    async def _finish(self, message: Finish) -> None:
        requests = tuple(self._requests)
        if requests:
            _, late = await asyncio.wait(requests, timeout=message.timeout_ms / 1_000)
            for request in late:
                request.cancel()
            await asyncio.gather(*late, return_exceptions=True)
        resolve(message.reply, None)

    async def on_close(self) -> None:
        """Close the connections to other entry VMs."""
        await self._peers.close()


def _check_proven(proven: bool) -> None:
    """Refuse a query if the age of the leader's view does not prove the answer.

    :raises RequestError: 503, as another try may reach a leader with a newer view.
    """
    if not proven:
        raise _refusal("the leader's view of jobs is too old", "leader_view_too_old", 503)


def _check_job_can_exist(job_id: str) -> None:
    """Refuse a call about a job whose ID no job can have.

    :raises RequestError: 410.
    """
    if not is_identifier(job_id):
        raise _refusal("there is no such job", "unknown_job", 410)


def _refusal(message: str, code: str, status: int) -> RequestError:
    return RequestError(message, code=code, status=status, step="answer caller")
