"""HTTP interface for callers, operators and peers: translates JSON requests into messages."""

from __future__ import annotations

import asyncio
import re
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import cattrs
from aiohttp import web
from attrs import frozen

from . import defaults, metrics, records
from .admission import Submission
from .attempts import digest_answer
from .audit import entries_about, entry_json
from .decoding import parse_object
from .dispatch import Dispatch
from .errors import DecodeError, InboxFullError, RequestError, SettingsError
from .jobs import Cancel, Query, ReadLoggedOutcome, ReadUsage, Submit
from .journal import Append, Journal, ReadAudit, ReadState
from .mailbox import Actor, new_reply
from .membership import Membership, ReadEntry
from .model import KeyGrant, Outcome, Reply, digest_key, issuer_of
from .peers import (
    ForwardQuery,
    Heartbeat,
    HeartbeatReceived,
    Peers,
    PeerStatus,
    ReadPeers,
    WithdrawKeyNow,
    decode,
    encode,
)
from .registry import Registry
from .replay import AuditEntry, FleetView, VmState, unavailable_count
from .replies import issue_request_ids
from .settings import parse_fleet_config
from .timer import Timer

# Request IDs are used in URL paths, here and at the workers' guards.
REQUEST_ID = re.compile(r"[A-Za-z0-9_][A-Za-z0-9._:~-]*")
# Above any valid duration or count, and small enough for floating-point arithmetic.
NUMBER_MAX = 1e12
SUBMISSION_FIELDS = frozenset(("request_id", "payload", "deadline_ms", "declared_run_ms"))

Handler = Callable[["Front", web.Request], Awaitable[web.StreamResponse]]
CLIENT_ROUTES: Registry[Handler] = Registry("client route")
PEER_ROUTES: Registry[Handler] = Registry("peer route")


@frozen
class Front:
    """Actors that the handlers send messages to.

    :param timer: for issued request IDs, expiry of appends and measured durations.
    """

    journal: Journal
    dispatch: Dispatch
    peers: Peers
    membership: Membership
    timer: Timer

    async def ask(self, actor: Actor, make_message: Callable[[asyncio.Future[Any]], Any]) -> Any:
        """Send a message with a reply future and return the reply.

        :param make_message: builds the message from the reply future.
        """
        reply = new_reply()
        actor.tell(make_message(reply))
        return await reply

    async def record(self, record: Any, author: str) -> AuditEntry:
        """Append an operator's record and return the audit entry of its replay.

        :raises RequestError: if the log did not accept it, or did not confirm it in time.
        """
        expires_ms = self.timer.now_ms() + defaults.LOG_UNAVAILABLE_MS
        pending = self.ask(self.journal, lambda reply: Append(record, author, reply, expires_ms))
        try:
            entry = await asyncio.wait_for(pending, defaults.OPERATOR_TIMEOUT_MS / 1_000)
        except TimeoutError:
            raise RequestError(
                "the log did not confirm the record in time; it may still take effect",
                code="outcome_unknown",
                status=504,
                step="append",
                peer="log",
            ) from None
        if isinstance(entry, Exception):
            raise RequestError(
                str(entry), code="log_unavailable", status=503, step="append", peer="log"
            )
        return entry


def build_app(front: Front, routes: Registry[Handler]) -> web.Application:
    """Return an application that serves the registered routes.

    :param routes: handlers by ``METHOD PATH``.
    """
    app = web.Application(
        client_max_size=defaults.CONFIG_LIMIT_BYTES,
        middlewares=[_make_closing_middleware(front), answer_errors],
    )
    for name, handler in routes.items():
        method, path = name.split(" ")
        app.router.add_route(method, path, _bind_front(front, handler))
    return app


def _bind_front(
    front: Front, handler: Handler
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    async def handle(request: web.Request) -> web.StreamResponse:
        return await handler(front, request)

    return handle


def _make_closing_middleware(front: Front) -> Any:
    @web.middleware
    async def close_while_draining(
        request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        response = await handler(request)
        if front.dispatch.draining:
            # A connection kept open until the process exits would lose its next request.
            response.force_close()
        return response

    return close_while_draining


@web.middleware
async def answer_errors(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Turn every error into a response with a JSON body."""
    try:
        try:
            return await handler(request)
        except InboxFullError as error:
            raise RequestError(
                error.message,
                code="overloaded",
                status=503,
                step=error.step,
                peer=error.peer,
                limit="inbox_count",
            ) from None
    except RequestError as error:
        return error_response(error, request.path)
    except web.HTTPRequestEntityTooLarge:
        return error_response(_too_large(defaults.CONFIG_LIMIT_BYTES), request.path)
    except web.HTTPException as error:
        code = error.reason.lower().replace(" ", "_")
        refused = RequestError(error.reason, code=code, status=error.status, step="route")
        return web.json_response(_error_body(refused), status=error.status)


def error_response(error: RequestError, path: str) -> web.Response:
    """Return the response to a refused request, of which nothing has run.

    :param path: path of the request.
    """
    body = _error_body(error)
    if path.startswith("/v1/requests/"):
        # The refusal of a query says nothing about the outcome of the job.
        body["outcome"] = Outcome.OUTCOME_UNKNOWN
    return web.json_response(body, status=error.status)


# Codes and limits of refused requests by the kind of the refusal.
REFUSAL_CODES = {
    "body_incomplete": ("body_incomplete", ""),
    "body_timeout": ("body_incomplete", "body_timeout_ms"),
    "body_stalled": ("body_incomplete", "body_memory_bytes"),
    "body_encoding": ("body_encoding", ""),
    "body_too_large": ("body_too_large", "body_size_bytes"),
    "body_memory": ("overloaded", "body_memory_bytes"),
    "trailers_too_large": ("body_too_large", "trailer_size_bytes"),
}


def refuse(request: web.BaseRequest, error: RequestError) -> web.Response:
    """Encode a refusal of the admission control, of which nothing was handed on."""
    code, limit = REFUSAL_CODES[error.code]
    refusal = RequestError(
        error.message, code=code, status=error.status, step="decode", limit=limit
    )
    response = error_response(refusal, request.path)
    if error.status == 503:
        response.headers["Retry-After"] = str(defaults.RETRY_AFTER_S)
    return response


def client_body_limit(request: web.BaseRequest) -> int:
    """Return the largest body of a request of a caller or operator."""
    large = request.path == "/v1/config"
    return defaults.CONFIG_LIMIT_BYTES if large else defaults.BODY_LIMIT_BYTES


def peer_body_limit(request: web.BaseRequest) -> int:
    """Return the largest body of a request of another entry VM."""
    forwarded = request.path == "/peer/forward"
    return defaults.FORWARD_LIMIT_BYTES if forwarded else defaults.BODY_LIMIT_BYTES


def _error_body(error: RequestError | Reply) -> dict[str, Any]:
    return {
        "outcome": error.outcome if isinstance(error, Reply) else Outcome.NOT_RUN,
        "error": {
            "code": error.code,
            "message": error.message,
            "step": error.step,
            "peer": error.peer,
            "limit": error.limit,
        },
    }


def _bad_request(message: str, code: str, status: int = 400, limit: str = "") -> RequestError:
    return RequestError(message, code=code, status=status, step="decode", limit=limit)


def _too_large(limit_bytes: int) -> RequestError:
    message = f"body is larger than {limit_bytes} bytes"
    return _bad_request(message, "body_too_large", 413, "body_size_bytes")


async def _read_json(request: web.Request) -> dict[str, Any]:
    # The admission control has read the body, within the limit of the path.
    body = await request.read()
    try:
        return parse_object(body)
    except DecodeError as error:
        raise _bad_request(f"body is not a JSON object: {error.message}", "bad_json") from None


def _field(data: dict[str, Any], name: str, kind: type, default: Any) -> Any:
    value = data.get(name, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise _bad_request(f"field {name!r} is missing or has the wrong type", "bad_field")
    return value


def _number_field(data: dict[str, Any], name: str, default: float, lowest: float = 0.0) -> float:
    value = data.get(name, default)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _bad_request(f"field {name!r} is not a number", "bad_field")
    if not lowest <= value <= NUMBER_MAX:
        raise _bad_request(f"field {name!r} is out of range", "bad_field")
    return float(value)


def _decode_message(data: dict[str, Any], cls: type[Any]) -> Any:
    try:
        return decode(data, cls)
    except cattrs.BaseValidationError as error:
        problem = f"body is not a valid {cls.__name__}: {error}"
        raise _bad_request(problem, "bad_field") from None


def key_id_of(request: web.Request) -> str:
    """Return the digest of a request's bearer key, empty if it has none."""
    header = request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    return digest_key(key.strip()) if scheme == "Bearer" and key else ""


# Callers


@CLIENT_ROUTES.register("POST /v1/request-ids")
async def issue_ids(front: Front, request: web.Request) -> web.Response:
    """Issue request IDs whose jobs only this incarnation may start."""
    data = await _read_json(request)
    count = _field(data, "count", int, 1)
    if not 1 <= count <= defaults.REQUEST_ID_BLOCK_COUNT:
        raise _bad_request("count is out of range", "bad_field", limit="request_id_block_count")
    state, member = await front.ask(front.membership, ReadEntry)
    if state not in ("ready", "isolated"):
        raise RequestError(f"entry VM is {state}", code=state, status=503, step="issue IDs")
    ids = issue_request_ids(member.name, member.incarnation, front.timer.now_ms(), count)
    return web.json_response(
        {"request_ids": ids, "valid_ms": defaults.REQUEST_ID_VALIDITY_MS, "entry": member.name}
    )


@CLIENT_ROUTES.register("POST /v1/queues/{queue}/jobs")
async def submit(front: Front, request: web.Request) -> web.Response:
    """Run a job and return its outcome."""
    data = await _read_json(request)
    dispatch = front.dispatch
    (default_request_id,) = issue_request_ids(
        dispatch.entry, dispatch.incarnation, front.timer.now_ms(), 1
    )
    submission = decode_submission(
        request.match_info["queue"], key_id_of(request), data, default_request_id
    )
    arrived_ms = front.timer.now_ms()
    reply = await front.ask(front.dispatch, lambda future: Submit(submission, future))
    outcome = str(reply.outcome)
    metrics.REQUESTS.add(1, metrics.labels(queue=submission.queue, outcome=outcome))
    metrics.REQUEST_DURATION.record(front.timer.now_ms() - arrived_ms)
    if reply.outcome is Outcome.NOT_RUN:
        metrics.REFUSALS.add(1, metrics.labels(code=reply.code))
    return reply_response(reply, front.dispatch.config_version)


def decode_submission(
    queue: str, key_id: str, data: dict[str, Any], default_request_id: str
) -> Submission:
    """Decode and validate a submission.

    :param default_request_id: request ID to use if the caller sent none.
    :raises RequestError: for unknown, missing or invalid fields.
    """
    unknown = data.keys() - SUBMISSION_FIELDS
    if unknown:
        raise _bad_request(f"unknown fields: {', '.join(sorted(unknown))}", "bad_field")
    if "payload" not in data:
        raise _bad_request("field 'payload' is missing", "bad_field")
    request_id = _field(data, "request_id", str, default_request_id)
    if len(request_id) > defaults.REQUEST_ID_MAX_CHARS or not REQUEST_ID.fullmatch(request_id):
        raise _bad_request(
            "request ID is empty, too long or contains characters that are not allowed", "bad_field"
        )
    return Submission(
        request_id=request_id,
        queue=queue,
        key_id=key_id,
        payload=data["payload"],
        body_digest=digest_answer(data["payload"]),
        deadline_ms=_number_field(
            data, "deadline_ms", defaults.DEADLINE_DEFAULT_MS, lowest=-NUMBER_MAX
        ),
        declared_run_ms=_number_field(data, "declared_run_ms", 0.0),
    )


def reply_response(reply: Reply, config_version: int | None) -> web.Response:
    """Return the response for the reply to a submission, query or cancellation."""
    body: dict[str, Any]
    if reply.answer is not None:
        body = {
            "outcome": reply.outcome,
            "answer": reply.answer.body,
            "succeeded": reply.answer.succeeded,
        }
    elif reply.outcome is Outcome.ACCEPTED:
        body = {"outcome": reply.outcome}
    else:
        body = _error_body(reply)
    body["request_id"] = reply.request_id
    body["config_version"] = config_version
    return web.json_response(body, status=reply.status)


@CLIENT_ROUTES.register("GET /v1/requests/{request_id}")
async def query(front: Front, request: web.Request) -> web.Response:
    """Return the outcome of an earlier request."""
    reply = await _find_outcome(front, request.match_info["request_id"], key_id_of(request))
    return reply_response(reply, front.dispatch.config_version)


async def _find_outcome(front: Front, request_id: str, key_id: str) -> Reply:
    reply = await front.ask(front.dispatch, lambda future: Query(request_id, key_id, future))
    if reply is not None:
        return reply
    # The log may hold the outcome of a job whose issuer is gone.
    logged = await front.ask(
        front.dispatch, lambda future: ReadLoggedOutcome(request_id, key_id, future)
    )
    if logged is not None and logged.outcome is not Outcome.ACCEPTED:
        return logged
    issuer = issuer_of(request_id)
    _, member = await front.ask(front.membership, ReadEntry)
    if issuer is not None and issuer[1] != member.incarnation:
        reply = await front.ask(
            front.peers, lambda future: ForwardQuery(request_id, issuer[1], key_id, future)
        )
        if reply.outcome is not Outcome.OUTCOME_UNKNOWN:
            return reply
    if logged is not None:
        return logged
    if reply is None:
        raise RequestError("unknown request", code="unknown_request", status=404, step="query")
    return reply


@CLIENT_ROUTES.register("DELETE /v1/requests/{request_id}")
async def cancel(front: Front, request: web.Request) -> web.Response:
    """Cancel a job that has not started."""
    request_id, key_id = request.match_info["request_id"], key_id_of(request)
    pending = front.ask(front.dispatch, lambda future: Cancel(request_id, key_id, future))
    try:
        reply = await asyncio.wait_for(pending, defaults.OPERATOR_TIMEOUT_MS / 1_000)
    except TimeoutError:
        # The log did not confirm the cancellation in time.
        reply = None
    if reply is None:
        reply = await _find_outcome(front, request_id, key_id)
    return reply_response(reply, front.dispatch.config_version)


# Operators


def _author(data: dict[str, Any]) -> str:
    author = _field(data, "author", str, "")
    if not author:
        raise _bad_request("field 'author' is missing", "bad_field")
    return author


def _conflict_error(entry: AuditEntry, code: str = "rejected") -> RequestError:
    return RequestError(entry.reason, code=code, status=409, step=entry.kind, peer="log")


@CLIENT_ROUTES.register("POST /v1/config")
async def publish(front: Front, request: web.Request) -> web.Response:
    """Publish a configuration."""
    data = await _read_json(request)
    base_version = _field(data, "base_version", int, None)
    try:
        config = parse_fleet_config(data.get("config"))
    except ExceptionGroup as group:
        problems = [
            {"path": error.peer, "message": error.message}
            for error in group.exceptions
            if isinstance(error, SettingsError)
        ]
        refused = _bad_request("the configuration has errors", "bad_config")
        return web.json_response({**_error_body(refused), "problems": problems}, status=400)
    entry = await front.record(records.Publish(base_version, config), _author(data))
    if not entry.accepted:
        error = _conflict_error(entry, "version_conflict")
        body = {**_error_body(error), "version": front.dispatch.config_version}
        return web.json_response(body, status=409)
    return web.json_response({"version": base_version + 1, "offset": entry.offset})


@CLIENT_ROUTES.register("POST /v1/keys")
async def grant_key(front: Front, request: web.Request) -> web.Response:
    """Create a key for a team; only its digest is stored."""
    data = await _read_json(request)
    team = _field(data, "team", str, None)
    if team not in front.dispatch.view.rights:
        raise _bad_request(f"unknown team {team!r}", "unknown_team", 404)
    key = secrets.token_urlsafe(24)
    grace_s = _number_field(data, "cutoff_grace_s", 0.0)
    grant = KeyGrant(digest_key(key), team, grace_s)
    entry = await front.record(records.GrantKey(grant), _author(data))
    return web.json_response({"key": key, "key_id": grant.key_id, "offset": entry.offset})


@CLIENT_ROUTES.register("DELETE /v1/keys/{key_id}")
async def withdraw_key(front: Front, request: web.Request) -> web.Response:
    """Withdraw a key; the call can be repeated to see whether all entry VMs refuse the key."""
    key_id = request.match_info["key_id"]
    author = _author(dict(request.query))
    view = front.dispatch.view
    _, member = await front.ask(front.membership, ReadEntry)
    if member.incarnation not in view.members:
        # Members judge the freshness of their views without this entry VM, so they could miss
        # a withdrawal that it accepts.
        raise RequestError("entry VM has not joined", code="starting", status=503, step="withdraw")
    grant = view.keys.get(key_id)
    offset = None
    if grant is not None:
        front.peers.tell(WithdrawKeyNow(key_id))
        entry = await front.record(records.WithdrawKey(key_id), author)
        offset = entry.offset
    bound_ms = defaults.KEY_FRESHNESS_MS + (grant.cutoff_grace_s * 1_000 if grant else 0)
    statuses: list[PeerStatus] = await front.ask(front.peers, ReadPeers)
    required_offset = offset if offset is not None else front.dispatch.view.offset
    missing = [
        s.member.name for s in statuses if s.offset < required_offset and s.silent_ms <= bound_ms
    ]
    return web.json_response(
        {
            "offset": required_offset,
            "complete": not missing,
            "missing": sorted(missing),
            "cutoff_grace_s": grant.cutoff_grace_s if grant else 0.0,
        }
    )


@CLIENT_ROUTES.register("POST /v1/waves")
async def start_wave(front: Front, request: web.Request) -> web.Response:
    """Start a maintenance wave over some pools."""
    data = await _read_json(request)
    pools = tuple(_field(data, "pools", list, None))
    if not all(isinstance(pool, str) for pool in pools):
        raise _bad_request("field 'pools' is not a list of names", "bad_field")
    cause = _field(data, "cause", str, "maintenance")
    record = records.StartWave(_field(data, "wave", str, None), pools, cause)
    return await _append_and_respond(front, record, _author(data))


@CLIENT_ROUTES.register("POST /v1/waves/{wave}/{event}")
async def control_wave(front: Front, request: web.Request) -> web.Response:
    """Resume or cancel a wave."""
    data = await _read_json(request)
    record = records.ControlWave(request.match_info["wave"], request.match_info["event"])
    return await _append_and_respond(front, record, _author(data))


@CLIENT_ROUTES.register("POST /v1/moves")
async def move_vm(front: Front, request: web.Request) -> web.Response:
    """Move a VM to another pool."""
    data = await _read_json(request)
    name = _field(data, "vm", str, None)
    vm = front.dispatch.view.vms.get(name)
    if vm is None:
        raise _bad_request(f"unknown VM {name!r}", "unknown_vm", 404)
    to_pool = _field(data, "to_pool", str, None)
    record = records.MoveVm(name, vm.pool, to_pool, f"to {to_pool}: operator")
    return await _append_and_respond(front, record, _author(data))


async def _append_and_respond(front: Front, record: Any, author: str) -> web.Response:
    entry = await front.record(record, author)
    if not entry.accepted:
        raise _conflict_error(entry)
    return web.json_response({"offset": entry.offset, "reason": entry.reason})


@CLIENT_ROUTES.register("GET /v1/explain/{kind}/{name}")
async def explain(front: Front, request: web.Request) -> web.Response:
    """Return the audit entries about a job, VM or team: who changed it, when and why."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    entries = await front.ask(front.journal, lambda future: ReadAudit(name, future))
    return web.json_response(
        {"entries": [entry_json(e) for e in entries_about(entries, kind, name)]}
    )


@CLIENT_ROUTES.register("GET /v1/status")
async def status(front: Front, _: web.Request) -> web.Response:
    """Return the state of the fleet as this entry VM sees it."""
    state, member = await front.ask(front.membership, ReadEntry)
    statuses: list[PeerStatus] = await front.ask(front.peers, ReadPeers)
    usage = await front.ask(front.dispatch, ReadUsage)
    view = front.dispatch.view
    return web.json_response(
        {
            "name": member.name,
            "incarnation": member.incarnation,
            "data_centre": member.data_centre,
            "state": state,
            "offset": view.offset,
            "config_version": view.config_version,
            "age_ms": front.dispatch.view_age_ms,
            "members": [_member_json(s) for s in statuses],
            "teams": {
                team: {
                    "limit_count": rights.limit_count,
                    "rights_count": usage.rights.get(team, 0),
                    "running_count": usage.running.get(team, 0),
                    "waiting_count": usage.waiting.get(team, 0),
                }
                for team, rights in view.rights.items()
            },
            "pools": {pool.name: _pool_json(view, pool) for pool in view.config.pools},
            "waves": {name: encode(wave) for name, wave in view.waves.items()},
            # VMs in service without a drain request are only counted, in their pools.
            "vms": {
                name: _vm_json(vm)
                for name, vm in view.vms.items()
                if vm.state != "in_service" or vm.drain_asked
            },
        }
    )


def _member_json(status: PeerStatus) -> dict[str, Any]:
    return {
        "name": status.member.name,
        "incarnation": status.member.incarnation,
        "data_centre": status.member.data_centre,
        "client_address": status.member.client_address,
        "offset": status.offset,
        "silent_ms": status.silent_ms,
    }


def _pool_json(view: FleetView, pool: Any) -> dict[str, Any]:
    return {
        "vm_count": sum(vm.pool == pool.name for vm in view.vms.values()),
        "unavailable_count": unavailable_count(view, pool.name),
        "max_unavailable_count": pool.max_unavailable_count,
    }


def _vm_json(vm: VmState) -> dict[str, Any]:
    return {
        "pool": vm.pool,
        "state": vm.state,
        "wave": vm.wave,
        "target_pool": vm.target_pool,
        "cause": vm.cause,
        "drain_asked": vm.drain_asked,
    }


@CLIENT_ROUTES.register("GET /healthz")
async def healthz(_: Front, __: web.Request) -> web.Response:
    """Liveness check: report that the process runs."""
    return web.json_response({"alive": True})


@CLIENT_ROUTES.register("GET /readyz")
async def readyz(front: Front, _: web.Request) -> web.Response:
    """Readiness check for the load balancer."""
    state, _member = await front.ask(front.membership, ReadEntry)
    return web.json_response({"state": state}, status=200 if state == "ready" else 503)


@CLIENT_ROUTES.register("GET /metrics")
async def read_metrics(_: Front, __: web.Request) -> web.Response:
    """Return all metrics; they are kept only by the exporter ``memory``."""
    text = metrics.collect()
    if text is None:
        message = "metrics are not kept in memory; set metrics_exporter to memory"
        raise RequestError(message, code="no_metrics", status=404, step="read metrics")
    return web.json_response(text=text)


# Other entry VMs


@PEER_ROUTES.register("POST /peer/heartbeat")
async def heartbeat(front: Front, request: web.Request) -> web.Response:
    """Accept a peer's heartbeat; return this entry VM's own and the records the peer lacks."""
    received = _decode_message(await _read_json(request), Heartbeat)
    own, chunk = await front.ask(front.peers, lambda future: HeartbeatReceived(received, future))
    return web.json_response({"beat": encode(own), "chunk": encode(chunk) if chunk else None})


@PEER_ROUTES.register("GET /peer/state")
async def peer_state(front: Front, _: web.Request) -> web.Response:
    """Return the full state as snapshot parts."""
    parts, age_ms = await front.ask(front.journal, ReadState)
    return web.json_response({"parts": [encode(part) for part in parts], "age_ms": age_ms})


@PEER_ROUTES.register("POST /peer/forward")
async def peer_forward(front: Front, request: web.Request) -> web.Response:
    """Handle a forwarded submission whose request ID this entry VM issued."""
    data = await _read_json(request)
    submission = _decode_message(data, Submission)
    reply = await front.ask(front.dispatch, lambda future: Submit(submission, future))
    return web.json_response(encode(reply))


@PEER_ROUTES.register("POST /peer/query")
async def peer_query(front: Front, request: web.Request) -> web.Response:
    """Return the outcome of a request, or null if it is not known here."""
    data = await _read_json(request)
    request_id, key_id = _field(data, "request_id", str, None), _field(data, "key_id", str, "")
    reply = await front.ask(front.dispatch, lambda future: Query(request_id, key_id, future))
    return web.json_response(encode(reply) if reply else None)
