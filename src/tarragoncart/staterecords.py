"""Records of the leader's state in the store: steps with the runs of their tasks, and ends of jobs.

Key ``ID`` holds the phase of an ended job. Key ``ID.K.S`` (job, occurrence, step) holds rows of
[index, state, run, upstream, failed runs, checkpoint], one for each task that has had a run; empty
values at the end of a row are left out. The upstream of a waiting task is the one to which it is
bound. After the end of a job it is kept until the runs of the step are gone, as these count against
the account's limit. Of the rows of one task the last one holds its state, and each earlier one
another run of it that may still be active; a version that does not know of such rows reads the last
one only.
"""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from .decoding import (
    UNIX_MS_MAX,
    check_int,
    check_list,
    check_str,
    decoder,
    parse_decimal,
    parse_json,
    parse_object,
)
from .errors import DecodeError
from .jobmodel import ENDED, EndedJob, Job, StepOccurrence
from .tasks import PLACED, TASK_CHART, Task

_STATE_CODES = {"done": "d", "exhausted": "x"}
_PLACED_CODE = "p"
_WAITING_CODE = "w"
_DECODED_STATES = {
    "d": "done",
    "x": "exhausted",
    _WAITING_CODE: "waiting",
    _PLACED_CODE: "started",
}
# Values of a row before the saved progress.
_PADDING: tuple[Any, ...] = (None, None, None, "", [])


@frozen
class EncodedStep:
    """The record of a step.

    :param left_out_count: values of saved progress for which the record has no room.
    """

    value: bytes
    left_out_count: int = 0


def encode_step(step: StepOccurrence, max_bytes: float = float("inf")) -> EncodedStep:
    """Encode the state of a step's tasks.

    Saved progress is left out, the longest values first, if the record would be too large; a task
    then runs without it after a change of the leader. The states of the tasks are always encoded.
    """
    rows = [_dump([index, _state_code("done"), run]) for index, run in step.tasks.done_runs()]
    checkpoints: list[tuple[int, bytes]] = []
    histories: set[int] = set()
    for task in step.tasks.kept:
        rows += [
            _dump([task.index, _PLACED_CODE, run, at]) for run, at in sorted(task.copies.items())
        ]
        if not task.run and task.state == TASK_CHART.initial and not task.copies:
            continue
        row = _encode_task(task)
        if task.history.checkpoint and task.state != "done" and id(task.history) not in histories:
            # The tasks of a gang share one value.
            histories.add(id(task.history))
            checkpoints.append(
                (len(rows), _dump([*row, *_PADDING[len(row) :], task.history.checkpoint]))
            )
        rows.append(_dump(row))
    size_bytes = 1 + sum(len(row) + 1 for row in rows)
    left_out_count = 0
    for number, row_bytes in sorted(checkpoints, key=lambda item: len(item[1])):
        added_bytes = len(row_bytes) - len(rows[number])
        if size_bytes + added_bytes > max_bytes:
            left_out_count += 1
            continue
        size_bytes += added_bytes
        rows[number] = row_bytes
    return EncodedStep(b"[" + b",".join(rows) + b"]", left_out_count)


def _dump(row: list[Any]) -> bytes:
    return json.dumps(row, separators=(",", ":")).encode()


def _state_code(state: str) -> str:
    return _PLACED_CODE if state in PLACED else _STATE_CODES.get(state, _WAITING_CODE)


def _encode_task(task: Task) -> list[Any]:
    """Return the row of a task without its saved progress."""
    code = _state_code(task.state)
    row: list[Any] = [task.index, code, task.run]
    if code != "d":
        failed_runs = sorted(task.history.failed_runs)
        row += [task.upstream_id if task.placed else task.bound_to, failed_runs]
        while not row[-1] and len(row) > 3:
            row.pop()
    return row


@frozen
class _TaskRow:
    index: int
    state: str
    run: int
    upstream_id: str
    failed_runs: tuple[int, ...]
    checkpoint: str


def _decode_rows(value: bytes, task_count: int) -> list[_TaskRow]:
    return [_decode_row(row, task_count) for row in check_list(parse_json(value))]


def _decode_row(row: Any, task_count: int) -> _TaskRow:
    """Decode the state of a task; values at the end of a row may be left out."""
    index, code, run, *rest = check_list(row)
    upstream_id, failed_runs, checkpoint = rest + ["", [], ""][len(rest) :]
    if check_str(code, "code") not in _DECODED_STATES:
        raise DecodeError("unknown state", place="code")
    return _TaskRow(
        check_int(index, "index", high=task_count - 1),
        _DECODED_STATES[code],
        check_int(run, "run"),
        check_str(upstream_id, "upstream"),
        tuple(check_int(failed, "failed_runs") for failed in check_list(failed_runs)),
        check_str(checkpoint, "checkpoint"),
    )


def decode_step(step: StepOccurrence, value: bytes) -> None:
    """Set the state of a step's tasks from a record; placed tasks become ``started``.

    The first report of their upstream then shows whether their runs still exist.
    """
    rows = _decode_rows(value, len(step.tasks))
    last_rows = {row.index: row for row in rows}
    for row in rows:
        task = step.tasks.keep(step.tasks.find(row.index))
        if row is not last_rows[row.index]:
            task.copies[row.run] = row.upstream_id
            continue
        task.state = row.state
        task.run = row.run
        task.upstream_id = row.upstream_id
        task.bound_to = row.upstream_id if task.state == "waiting" else ""
        task.history.failed_runs.update(row.failed_runs)
        # Earlier versions stored a value for each task of a gang; any of them is valid for all.
        if row.checkpoint:
            step.tasks.keep_checkpoint(task, row.checkpoint)
    if step.spec.gang and step.tasks.done_count:
        # Earlier versions waited for an end of each task of a gang.
        for task in step.tasks:
            task.state = "done"
    for task in list(step.tasks.kept):
        step.tasks.condense(task)
    step.done_count = step.tasks.done_count


def encode_phase(job: Job | EndedJob) -> bytes:
    """Encode the phase and the time of the end of a job."""
    return json.dumps({"phase": job.phase, "at": job.ended_ms}, separators=(",", ":")).encode()


@decoder("state of a step")
def restore_step(job: Job, key: str, value: bytes) -> None:
    """Apply the record of a step occurrence to its job.

    If the record of an existing step cannot be decoded, the job becomes unreadable.

    :raises DecodeError: if it is malformed, or belongs to no step of the job.
    """
    occurrence, number = parse_step_key(key)
    if occurrence >= job.occurrence_count or number >= len(job.submission.spec.steps):
        raise DecodeError("the job has no such step", place=key)
    if not job.is_open(occurrence):
        job.release(occurrence)
    try:
        decode_step(job.steps[occurrence, number], value)
    except DecodeError:
        job.unreadable = True
        raise


def parse_step_key(key: str) -> tuple[int, int]:
    """Return the numbers of the occurrence and the step of a key.

    :raises DecodeError: if it is not the key of a step.
    """
    numbers = [parse_decimal(part) for part in key.split(".")[1:]]
    match numbers:
        case [int(occurrence), int(number)]:
            return occurrence, number
    raise DecodeError("not the key of a step", place=key)


@decoder("end of a job")
def decode_end(job_id: str, value: bytes) -> EndedJob:
    """Decode the record of the end of a job.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(value)
    phase = check_str(data.get("phase"), "phase")
    if phase not in ENDED:
        raise DecodeError("not the phase of an ended job", place="phase")
    return EndedJob(job_id, phase, check_int(data.get("at"), "at", high=UNIX_MS_MAX))


def is_end_readable(job_id: str, value: bytes) -> bool:
    """Return whether the record of the end of a job can be decoded."""
    try:
        decode_end(job_id, value)
    except DecodeError:
        return False
    return True
