"""Measures what a new leader reads and restores: ``python -m bench.takeover_cost``."""

from __future__ import annotations

import base64
import gc
import json
import random
import time
from collections.abc import Iterator
from typing import Annotated

import typer

from tarragoncart import defaults, intake, jobmodel, staterecords
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission
from tarragoncart.jobmodel import Job
from tarragoncart.restoration import restore
from tarragoncart.storage import Entry

TEXT_MEAN_BYTES = 600
NOW_MS = 1_764_884_000_000


def make_submission(rng: random.Random) -> Submission:
    """Return a job like those of the users' queues."""
    text = f"{rng.getrandbits(8 * TEXT_MEAN_BYTES):x}"[: rng.randrange(2 * TEXT_MEAN_BYTES)]
    steps = tuple(
        StepSpec(
            rng.randint(2, 24),
            Demand(rng.randrange(400, 18_000), rng.randrange(500, 40_000)),
            rng.randrange(200, 2_000),
            (number - 1,) if number else (),
        )
        for number in range(rng.randint(1, 3))
    )
    name = f"{rng.getrandbits(64):016x}"
    return Submission(name, "q", "pool", "shop", 0, 2, 1.6, 600, NOW_MS, JobSpec(text, steps))


def state_records(job: Job, ended: bool) -> Iterator[tuple[str, bytes]]:
    """Yield the records of the state of a job that has ended, or whose first step runs."""
    if ended:
        job.phase, job.ended_ms = jobmodel.COMPLETED, NOW_MS
        yield job.job_id, staterecords.encode_phase(job)
        return
    step = job.release(0)[0]
    for task in step.tasks:
        task.state, task.run, task.upstream_id = "running", 1, f"i-{task.index:010x}"
    yield step.name, staterecords.encode_step(step).value


def response_bytes(records: list[tuple[str, bytes]]) -> int:
    """Return the size of the store's responses that list the records."""
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for offset, (key, value) in enumerate(records)
    ]
    return len(json.dumps(items, separators=(",", ":")))


def main(
    unfinished: Annotated[int, typer.Option(help="Jobs that have not ended.")] = 150,
    ended: Annotated[int, typer.Option(help="Ended jobs whose ends are kept.")] = 2_000,
    kept: Annotated[int, typer.Option(help="Ended jobs whose acceptance is kept.")] = 2_000,
    seed: Annotated[int, typer.Option(help="Seed of the jobs.")] = 1,
) -> None:
    """Print the bytes read, and the processor time of the restoration and of its longest value."""
    rng = random.Random(seed)
    jobs = [Job(make_submission(rng)) for _ in range(unfinished + ended)]
    accepted = [intake.submission_record(job.submission) for job in jobs[: unfinished + kept]]
    state = [
        record
        for number, job in enumerate(jobs)
        for record in state_records(job, ended=number >= unfinished)
    ]
    entries = [(0, Entry(key, value, offset)) for offset, (key, value) in enumerate(accepted)]
    gc.collect()
    gc.freeze()
    gc.set_threshold(defaults.GC_THRESHOLD_COUNT, 20, 50)
    longest_s, started_s = 0.0, time.process_time()
    last_s = started_s
    for _ in restore(entries, state, NOW_MS):
        now_s = time.process_time()
        longest_s, last_s = max(longest_s, now_s - last_s), now_s
    print(f"seed {seed}, {unfinished} unfinished jobs, {ended} ended, {kept} of them accepted")
    print(f"acceptance records: {response_bytes(accepted)} bytes")
    print(f"state records: {response_bytes(state)} bytes")
    print(
        f"restoration: {(last_s - started_s) * 1e3:.1f} ms, longest value {longest_s * 1e3:.2f} ms"
    )


if __name__ == "__main__":
    typer.run(main)
