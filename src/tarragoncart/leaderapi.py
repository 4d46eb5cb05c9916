"""HTTP interface with JSON between entry VMs: queries to the leader and to candidates."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp
from aiohttp import web
from attrs import asdict

from . import defaults
from .candidates import CandidateStatus, LeaderView
from .decoding import (
    check_bool,
    check_float,
    check_int,
    check_object,
    check_str,
    decoder,
    parse_decimal,
    parse_object,
)
from .errors import DecodeError, InboxFullError, PeerError
from .explaining import ExplainPlace, GivenJob, NoExplanation
from .graph import JobSpec
from .leadership import QueryCandidate, QueryReach, RequestClaim
from .loading import Backlog, QueryBacklog
from .mailbox import Actor, new_reply
from .scheduler import CountPending, JobView, Lookup, PendingView, Scheduler
from .sessions import open_session

NOT_LEADING_STATUS = 409
CONNECTION_COUNT = 8
KEEPALIVE_S = 15
EXPLANATION_PATH = "/explain/place"
BACKLOG_PATH = "/backlog"
# An explanation may wait for a scheduling pass and for the restoration of jobs in slices.
EXPLANATION_TIMEOUT_MS = 2_000
# Query parameter of a request that another entry VM has forwarded, which is not forwarded again.
FORWARDED = "forwarded"

T = TypeVar("T")


class PeerClient:
    """Client that queries the leader and the candidates; owned by one actor.

    :param connection_count: maximum number of concurrent connections.
    """

    def __init__(self, connection_count: int = CONNECTION_COUNT) -> None:
        self._connection_count = connection_count
        self._session: aiohttp.ClientSession | None = None

    async def lookup(self, address: str, job_id: str) -> JobView:
        """Query the phase of a job.

        :raises PeerError: if the peer does not answer or does not lead.
        """
        return await self._get(address, f"/jobs/{job_id}", decode_job_view)

    async def count_pending(self, address: str, queue: str) -> PendingView:
        """Query how many jobs of a queue have not started.

        :raises PeerError: if the peer does not answer or does not lead.
        """
        return await self._get(address, f"/queues/{quote(queue, safe='')}", decode_pending_view)

    async def read_backlog(self, address: str) -> Backlog:
        """Query for which accounts no more jobs should be accepted.

        :raises PeerError: if the peer does not answer or does not lead.
        """
        return await self._get(address, BACKLOG_PATH, decode_backlog)

    async def is_leader(self, address: str) -> bool:
        """Ask whether the peer leads.

        :raises PeerError: if it does not answer.
        """
        status, _ = await self._send(address, "/leader", defaults.PROBE_TIMEOUT_MS)
        return status == 200

    async def query_candidate(self, address: str, leader_address: str) -> CandidateStatus:
        """Ask whether the peer would lead.

        :param leader_address: leader that the peer should query as well, empty for none.
        :raises PeerError: if it does not answer.
        """
        path = f"/candidate/{leader_address}"
        # The peer may wait for the leader for as long as this entry VM did.
        timeout_ms = defaults.PROBE_TIMEOUT_MS * (2 if leader_address else 1)
        status, body = await self._send(address, path, timeout_ms)
        return _decode_answer(decode_status, status, body, address)

    async def request_claim(self, address: str, end_offset: int) -> bool:
        """Ask the peer to claim an epoch; return whether it does.

        :param end_offset: end of the leader's partition on condition of which to claim.
        :raises PeerError: if it does not answer.
        """
        path = f"/claim/{end_offset}"
        status, _ = await self._send(address, path, defaults.PROBE_TIMEOUT_MS, "POST")
        return status == 200

    async def count_reached(self, address: str, upstream_addresses: tuple[str, ...]) -> int:
        """Ask how many of some upstreams the peer reaches.

        :raises PeerError: if it does not answer.
        """
        path = f"/reach/{','.join(upstream_addresses)}"
        # The peer waits for the upstreams for as long as for a leader.
        status, body = await self._send(address, path, 2 * defaults.PROBE_TIMEOUT_MS)
        return _decode_answer(decode_reached_count, status, body, address)

    async def explain_place(self, address: str, query: str) -> tuple[int, bytes]:
        """Forward a request for an explanation; return the status and the body of the answer.

        :param query: the query of the request, percent-encoded.
        :raises PeerError: if the peer does not answer.
        """
        path = f"{EXPLANATION_PATH}?{query}&{FORWARDED}=1"
        return await self._send(address, path, EXPLANATION_TIMEOUT_MS)

    async def _get(self, address: str, path: str, decode: Callable[[bytes], T]) -> T:
        status, body = await self._send(address, path, defaults.LOOKUP_TIMEOUT_MS)
        return _decode_answer(decode, status, body, address)

    async def _send(
        self, address: str, path: str, timeout_ms: float, method: str = "GET"
    ) -> tuple[int, bytes]:
        if self._session is None:
            self._session = open_session(self._connection_count, KEEPALIVE_S)
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        try:
            url = f"http://{address}{path}"
            async with self._session.request(method, url, timeout=timeout) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PeerError(repr(error), step="ask leader", peer=address) from error

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


class PeerServer:
    """Answers the queries of other entry VMs.

    :param scheduler: returns the scheduler if this entry VM leads.
    :param is_leader: returns whether the store has recently confirmed that this entry VM leads.
    :param election: answers queries to this entry VM as a candidate.
    :param find_other_leader: returns the address of the entry VM that leads as far as is known,
        empty if there is none.
    :param decode_job: decodes a job in the format of callers; raises DecodeError.
    """

    def __init__(
        self,
        scheduler: Callable[[], Scheduler | None],
        is_leader: Callable[[], bool],
        election: Actor,
        find_other_leader: Callable[[], str],
        decode_job: Callable[[bytes], JobSpec],
    ) -> None:
        self._scheduler = scheduler
        self._is_leader = is_leader
        self._election = election
        self._find_other_leader = find_other_leader
        self._decode_job = decode_job
        self._client = PeerClient(1)

    async def close(self) -> None:
        """Close the connections for forwarded requests."""
        await self._client.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a query."""
        kind, _, name = request.path.lstrip("/").partition("/")
        if request.path == EXPLANATION_PATH and request.method == "GET":
            return await self._explain_place(request)
        if kind == "candidate":
            return await self._answer_as_candidate(name)
        if kind == "reach":
            return await self._answer_reach(tuple(name.split(",")))
        end_offset = parse_decimal(name)
        if kind == "claim" and end_offset is not None:
            return await self._accept_claim(end_offset)
        scheduler = self._scheduler()
        if scheduler is None:
            return web.Response(status=NOT_LEADING_STATUS)
        if request.path == "/leader":
            return web.Response(status=200 if self._is_leader() else NOT_LEADING_STATUS)
        reply = new_reply()
        if request.path == BACKLOG_PATH:
            scheduler.tell(QueryBacklog(reply))
            return await _respond(reply, defaults.LOOKUP_TIMEOUT_MS, _encode_backlog)
        if kind == "jobs":
            scheduler.tell(Lookup(name, reply))
        elif kind == "queues":
            scheduler.tell(CountPending(name, reply))
        else:
            return web.Response(status=404)
        return await _respond(reply, defaults.LOOKUP_TIMEOUT_MS, _encode_view)

    async def _explain_place(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer as the leader, or forward the request to it once."""
        scheduler = self._scheduler()
        if scheduler is None:
            return await self._forward_explanation(request)
        try:
            job = _decode_wanted_job(request.query, self._decode_job)
        except DecodeError as error:
            return _refuse_explanation(400, str(error))
        reply = new_reply()
        try:
            scheduler.tell(ExplainPlace(job, reply))
            answer = await asyncio.wait_for(reply, EXPLANATION_TIMEOUT_MS / 1_000)
        except InboxFullError:
            return _refuse_explanation(503, "the leader is overloaded")
        except TimeoutError:
            return _refuse_explanation(503, "the leader has not answered in time")
        if isinstance(answer, NoExplanation):
            return _refuse_explanation(404 if answer.unknown else 503, answer.reason)
        return _json_response(asdict(answer))

    async def _forward_explanation(self, request: web.BaseRequest) -> web.StreamResponse:
        address = self._find_other_leader()
        if not address or FORWARDED in request.query:
            return _refuse_explanation(503, "this entry VM knows no leader")
        try:
            query = request.rel_url.raw_query_string
            status, body = await self._client.explain_place(address, query)
        except PeerError as error:
            return _refuse_explanation(503, f"the leader does not answer: {error}")
        return web.Response(status=status, body=body, content_type="application/json")

    async def _answer_as_candidate(self, leader_address: str) -> web.StreamResponse:
        reply = new_reply()
        self._election.tell(QueryCandidate(leader_address, reply))
        return await _respond(reply, 2 * defaults.PROBE_TIMEOUT_MS, _encode_status)

    async def _answer_reach(self, upstream_addresses: tuple[str, ...]) -> web.StreamResponse:
        reply = new_reply()
        self._election.tell(QueryReach(upstream_addresses, reply))
        timeout_ms = 2 * defaults.PROBE_TIMEOUT_MS
        return await _respond(reply, timeout_ms, lambda count: {"reached_count": count})

    async def _accept_claim(self, end_offset: int) -> web.StreamResponse:
        reply = new_reply()
        self._election.tell(RequestClaim(end_offset, reply))
        try:
            accepted = await asyncio.wait_for(reply, defaults.PROBE_TIMEOUT_MS / 1_000)
        except TimeoutError:
            return web.Response(status=503)
        return web.Response(status=200 if accepted else NOT_LEADING_STATUS)


async def _respond(
    reply: asyncio.Future[Any], timeout_ms: float, encode: Callable[[Any], dict[str, Any]]
) -> web.StreamResponse:
    """Respond with an actor's reply as JSON, or with 503 if there is none in time."""
    try:
        answer = await asyncio.wait_for(reply, timeout_ms / 1_000)
    except TimeoutError:
        return web.Response(status=503)
    return _json_response(encode(answer))


def _json_response(data: dict[str, Any], status: int = 200) -> web.Response:
    body = json.dumps(data).encode()
    return web.Response(status=status, body=body, content_type="application/json")


def _refuse_explanation(status: int, reason: str) -> web.Response:
    return _json_response({"reason": reason}, status)


def _decode_wanted_job(
    query: Mapping[str, str], decode_job: Callable[[bytes], JobSpec]
) -> str | GivenJob:
    """Decode the job of a request for an explanation: an ID, or a job with its queue.

    :raises DecodeError: if it is malformed.
    """
    if job_id := query.get("id"):
        return job_id
    if "job" not in query or "queue" not in query:
        raise DecodeError("neither an ID nor a job with its queue", place="query")
    spec = decode_job(query["job"].encode())
    return GivenJob(query["queue"], query.get("account", ""), spec)


def _encode_status(status: CandidateStatus) -> dict[str, Any]:
    return {
        "willing": status.willing,
        "claiming": status.claiming,
        "leader_view": status.leader_view.value,
    }


def _encode_backlog(backlog: Backlog) -> dict[str, Any]:
    """Encode the accounts; an infinite pause, which JSON cannot represent, becomes null."""
    return {
        "pauses_ms": {
            account: pause_ms if math.isfinite(pause_ms) else None
            for account, pause_ms in backlog.pauses_ms.items()
        }
    }


def _encode_view(view: JobView | PendingView) -> dict[str, Any]:
    """Encode an answer; an infinite age, which JSON cannot represent, becomes null."""
    age_ms = round(view.view_age_ms) if math.isfinite(view.view_age_ms) else None
    if isinstance(view, JobView):
        return {"phase": view.phase, "view_age_ms": age_ms}
    return {"pending_count": view.count, "view_age_ms": age_ms}


def _decode_answer(decode: Callable[[bytes], T], status: int, body: bytes, address: str) -> T:
    """Decode the answer of a peer.

    :raises PeerError: if it is a refusal or malformed.
    """
    if status != 200:
        raise PeerError(f"status {status}", step="ask peer", peer=address)
    try:
        return decode(body)
    except DecodeError as error:
        raise PeerError(str(error), step="ask peer", peer=address) from error


@decoder("view of a job")
def decode_job_view(body: bytes) -> JobView:
    """Decode the leader's answer about a job."""
    data = parse_object(body)
    return JobView(check_str(data.get("phase"), "phase"), _decode_age_ms(data))


@decoder("view of a queue")
def decode_pending_view(body: bytes) -> PendingView:
    """Decode the leader's answer about a queue."""
    data = parse_object(body)
    return PendingView(check_int(data.get("pending_count"), "pending_count"), _decode_age_ms(data))


@decoder("backlog of the leader")
def decode_backlog(body: bytes) -> Backlog:
    """Decode the accounts for which no more jobs should be accepted."""
    pauses_ms = check_object(parse_object(body).get("pauses_ms"), "pauses_ms")
    return Backlog(
        {
            account: float("inf") if pause_ms is None else float(check_float(pause_ms, account))
            for account, pause_ms in pauses_ms.items()
        }
    )


@decoder("status of a candidate")
def decode_status(body: bytes) -> CandidateStatus:
    """Decode a candidate's answer."""
    data = parse_object(body)
    return CandidateStatus(
        check_bool(data.get("willing"), "willing"),
        check_bool(data.get("claiming"), "claiming"),
        LeaderView(data.get("leader_view")),
    )


@decoder("reach of a candidate")
def decode_reached_count(body: bytes) -> int:
    """Decode the number of upstreams that a candidate reaches."""
    return check_int(parse_object(body).get("reached_count"), "reached_count")


def _decode_age_ms(data: dict[str, Any]) -> float:
    age_ms = data["view_age_ms"]
    return float("inf") if age_ms is None else float(check_float(age_ms, "view_age_ms"))
