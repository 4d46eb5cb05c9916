"""HTTP interface for callers: decodes their requests and encodes the responses."""

from __future__ import annotations

import logging
from typing import Any

from aiohttp import web

from .. import defaults
from ..decoding import (
    UNIX_MS_MAX,
    check_int,
    check_list,
    check_object,
    decoder,
    get_bool,
    get_int,
    get_items,
    get_str,
    parse_decimal,
    parse_object,
)
from ..entrance import (
    Accepted,
    Cancel,
    PendingCount,
    Phase,
    Query,
    RequestContext,
    RequestHandler,
    Submit,
)
from ..errors import DecodeError, InboxFullError, RequestError
from ..graph import JobSpec, StepSpec
from ..intake import TASK_LIMIT_COUNT, check_job
from ..mailbox import new_reply
from ..timer import Timer
from .operator import decode_demand
from .wire import dump_json

logger = logging.getLogger(__name__)

# Codes of refused requests by status.
REFUSAL_CODES = {413: "too_large", 431: "too_large", 503: "busy"}


@decoder("job")
def decode_job(body: bytes) -> JobSpec:
    """Decode a submitted job.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(body)
    if len(check_list(data.get("steps"), "steps")) > TASK_LIMIT_COUNT:
        # Decoding all steps of the largest body would keep the event loop for over a second.
        raise DecodeError(f"more than {TASK_LIMIT_COUNT}", place="steps")
    spec = JobSpec(
        text=get_str(data, "spec"),
        steps=get_items(data, "steps", _decode_step),
        occurrence_count=get_int(data, "times"),
        first_due_ms=get_int(data, "first-ms", high=UNIX_MS_MAX),
        interval_ms=get_int(data, "interval-ms", high=UNIX_MS_MAX),
    )
    check_job(spec)
    return spec


def _decode_step(data: Any) -> StepSpec:
    check_object(data)
    return StepSpec(
        task_count=max(1, get_int(data, "count", 1)),
        demand=decode_demand(data),
        estimate_ms=get_int(data, "est-ms"),
        depends_on=get_items(data, "depends-on", check_int),
        gang=get_bool(data, "gang"),
        same_rack=get_bool(data, "same-rack"),
        # ``affinity`` is the name of the rack with the data.
        rack=get_str(data, "affinity"),
        label=get_str(data, "requirements"),
        # ``anti-affinity`` is the maximum number of tasks on one upstream.
        max_per_upstream_count=get_int(data, "anti-affinity"),
        speculative=get_bool(data, "speculative"),
        checkpointing=get_bool(data, "checkpointing"),
        long_running=get_bool(data, "long-running"),
        image=get_str(data, "image"),
        target_tail_ms=get_int(data, "target-ms"),
        fills=get_bool(data, "fills"),
        max_away_count=get_int(data, "may-miss") if "may-miss" in data else None,
    )


class CallerServer:
    """HTTP handlers for callers and for the load balancer's readiness checks."""

    def __init__(self, request_handler: RequestHandler, timer: Timer) -> None:
        self._request_handler = request_handler
        self._timer = timer
        self.draining = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a caller's request."""
        try:
            response = _encode(await self._dispatch(request))
        except RequestError as error:
            # Encoded here: a variable that outlives the handler would keep the frames of the
            # error, and with them the decoded body, until the next run of the garbage collector.
            response = _encode(error)
        except InboxFullError as error:
            logger.warning("request refused: inbox is full", extra={"reason": str(error)})
            busy = RequestError("busy", code="busy", status=503, step="answer caller")
            response = _encode(busy)
        if self.draining or response.status == 503:
            # A new connection may reach another entry VM that can serve the caller.
            response.force_close()
        return response

    async def _dispatch(self, request: web.BaseRequest) -> Any:
        context = RequestContext(
            hostname=request.headers.get("Host", "").partition(":")[0],
            path=request.path,
            key=request.headers.get("Api-Key", ""),
            received_ms=self._timer.now_ms(),
            deadline_ms=parse_decimal(request.headers.get("Deadline-Ms", "")) or 0,
        )
        reply = new_reply()
        if request.method == "POST":
            body = await request.read()
            try:
                spec = decode_job(body)
            except DecodeError as error:
                raise RequestError(
                    str(error), code="invalid", status=400, step="decode job"
                ) from error
            self._request_handler.tell(Submit(context, spec, reply))
        elif request.method == "GET":
            self._request_handler.tell(Query(context, reply))
        elif request.method == "DELETE":
            self._request_handler.tell(Cancel(context, reply))
        else:
            raise RequestError(
                "method not allowed", code="invalid", status=405, step="answer caller"
            )
        return await reply

    def refuse(self, request: web.BaseRequest, error: RequestError) -> web.Response:
        """Encode a refusal of the admission control, of which nothing was handed on."""
        code = REFUSAL_CODES.get(error.status, "invalid")
        return _encode(RequestError(error.message, code=code, status=error.status, step=error.step))

    async def handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the load balancer's readiness check."""
        ready = self._request_handler.ready and not self.draining
        return web.Response(status=200 if ready else 503)


def _encode(answer: Any) -> web.Response:
    match answer:
        case Accepted():
            return _json(200, {})
        case Phase(phase):
            return _json(200, {"phase": phase})
        case PendingCount(count):
            return _json(200, {"pending": count})
        case RequestError():
            headers = {}
            if answer.status in (429, 503):
                headers["Retry-After"] = str(answer.retry_after_s or defaults.RETRY_AFTER_S)
            return _json(answer.status, {"error": answer.code}, headers)
    raise TypeError(f"no encoding for {answer!r}")


def _json(status: int, data: Any, headers: dict[str, str] | None = None) -> web.Response:
    return web.Response(
        status=status, body=dump_json(data), content_type="application/json", headers=headers
    )
