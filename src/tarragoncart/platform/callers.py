"""HTTP interface for callers: decodes their requests and encodes the responses."""

from __future__ import annotations

import logging
from typing import Any

from aiohttp import web

from .. import defaults
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
from ..errors import InboxFullError, RequestError
from ..graph import JobSpec, StepSpec
from ..mailbox import new_reply
from ..timer import Timer
from .operator import decode_demand
from .wire import dump_json, get_bool, get_int, get_str, load_json

logger = logging.getLogger(__name__)

TASK_LIMIT_COUNT = 20_000


def decode_job(body: bytes) -> JobSpec:
    """Decode a submitted job.

    :raises ValueError: if it is malformed.
    """
    data = load_json(body)
    if not isinstance(data, dict) or not isinstance(data.get("steps"), list):
        raise ValueError("job is not an object with a list of steps")
    steps = tuple(_decode_step(number, step) for number, step in enumerate(data["steps"]))
    if not steps or sum(step.task_count for step in steps) > TASK_LIMIT_COUNT:
        raise ValueError("job has no tasks or too many")
    return JobSpec(
        text=get_str(data, "spec"),
        steps=steps,
        occurrence_count=get_int(data, "times"),
        first_due_ms=get_int(data, "first-ms"),
        interval_ms=get_int(data, "interval-ms"),
    )


def _decode_step(number: int, data: Any) -> StepSpec:
    if not isinstance(data, dict):
        raise ValueError(f"step {number} is not an object")
    depends_on = tuple(int(other) for other in data.get("depends-on") or ())
    if any(not 0 <= other < number for other in depends_on):
        raise ValueError(f"step {number} depends on a step that does not precede it")
    return StepSpec(
        task_count=max(1, get_int(data, "count", 1)),
        demand=decode_demand(data),
        estimate_ms=get_int(data, "est-ms"),
        depends_on=depends_on,
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
            answer = await self._dispatch(request)
        except RequestError as error:
            answer = error
        except InboxFullError as error:
            logger.warning("request refused: inbox is full", extra={"reason": str(error)})
            answer = RequestError("busy", code="busy", status=503, step="answer caller")
        response = _encode(answer)
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
            deadline_ms=_parse_int(request.headers.get("Deadline-Ms", "")),
        )
        reply = new_reply()
        if request.method == "POST":
            body = await request.read()
            try:
                spec = decode_job(body)
            except (ValueError, TypeError, AttributeError) as error:
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

    async def handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the load balancer's readiness check."""
        ready = self._request_handler.ready and not self.draining
        return web.Response(status=200 if ready else 503)


def _parse_int(value: str) -> int:
    return int(value) if value.isdigit() else 0


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
                headers["Retry-After"] = str(defaults.RETRY_AFTER_S)
            return _json(answer.status, {"error": answer.code}, headers)
    raise TypeError(f"no encoding for {answer!r}")


def _json(status: int, data: Any, headers: dict[str, str] | None = None) -> web.Response:
    return web.Response(
        status=status, body=dump_json(data), content_type="application/json", headers=headers
    )
