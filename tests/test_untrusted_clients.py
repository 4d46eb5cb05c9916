"""Tests that clients which respect no limit neither end a front end nor shut out other callers.

Each test starts the front end's own process with the limits of a small VM in its settings. It
checks that the process still runs, that its peak memory and its descriptors stay within these
limits, and that an ordinary request is answered while the clients are connected. It checks no
times and no shares.
"""

from __future__ import annotations

import pytest

from bench.untrusted import (
    BODY_CASES,
    DECODED_CASES,
    HEAD_CASES,
    IDLE_CASES,
    JOB_CASES,
    OTHER_LISTENER_CASES,
    TRAILER_CASES,
    UNREAD_CASES,
    describe,
    run_case,
)


def _by_name(cases):
    return pytest.mark.parametrize("case", cases, ids=lambda case: case.name)


@pytest.fixture
def check_case(tmp_path):
    """Return a function that runs a case and checks its outcome."""

    async def check(case):
        outcome = await run_case(case, tmp_path)
        line = describe(case, outcome)
        print(line)
        assert not list(outcome.problems()), line

    return check


@_by_name(HEAD_CASES)
async def test_heads_are_bounded(check_case, case):
    """Guards against holding all header fields that a client sends, or its empty lines."""
    await check_case(case)


@_by_name(BODY_CASES)
async def test_bodies_held_at_once_are_bounded(check_case, case):
    """Guards against holding the bodies of all clients at once, each of legal size or larger."""
    await check_case(case)


@_by_name(TRAILER_CASES)
async def test_trailer_fields_are_bounded(check_case, case):
    """Guards against holding all fields that a client sends after its chunked body."""
    await check_case(case)


@_by_name(DECODED_CASES)
async def test_decoded_bodies_held_at_once_are_bounded(check_case, case):
    """Guards against legal bodies whose objects take many times the memory of their bytes."""
    await check_case(case)


@_by_name(JOB_CASES)
async def test_the_jobs_that_a_leader_holds_are_bounded(check_case, case):
    """Guards against small legal bodies whose jobs have more tasks than the leader can hold."""
    await check_case(case)


@_by_name(UNREAD_CASES)
async def test_unread_answers_are_bounded(check_case, case):
    """Guards against holding pipelined requests and answers of clients that do not read."""
    await check_case(case)


@_by_name(IDLE_CASES)
async def test_idle_connections_are_bounded(check_case, case):
    """Guards against idle connections that take the descriptors reserved for files."""
    await check_case(case)


@_by_name(OTHER_LISTENER_CASES)
async def test_other_listeners_are_bounded(check_case, case):
    """Guards against listeners for readiness, other entry VMs or metrics that have no bounds."""
    await check_case(case)
