"""The leader's estimate of leases, and its fencing tokens."""

from __future__ import annotations

import pytest

from tarragoncart import defaults
from tarragoncart.fencing import FencingTokens, epoch_of
from tarragoncart.leases import ClockReading, LeaseEstimate, max_lease_ms

NOW_MS = 50_000.0
LEASE_MS = 3_000
LONGEST_MS = 10_000
# An order without an answer may be carried out seconds later.
LATE_MS = 6_000


@pytest.fixture
def lease():
    """The lease of an upstream that grants more than the leader asks for."""
    return LeaseEstimate(LEASE_MS, LONGEST_MS)


def test_a_renewal_is_counted_by_the_clock_that_was_read(lease):
    """Guards against a lease that begins at the time of the reading instead of the order."""
    until_ms = lease.renew(ClockReading(7_000, NOW_MS - 400), NOW_MS)
    assert until_ms == 7_400 + LEASE_MS
    assert lease.end_ms == NOW_MS + max_lease_ms(LEASE_MS)


@pytest.mark.parametrize(
    ("behind_ms", "granted_ms"),
    [(0, LEASE_MS), (500, LEASE_MS + 500), (50_000, LONGEST_MS), (-9_000, 0)],
)
def test_the_clock_in_an_answer_shows_how_long_a_lease_was_granted(lease, behind_ms, granted_ms):
    """Guards against a lease that outlasts the estimate as another incarnation has granted it."""
    lease.note_granted(60_000 + LEASE_MS, 60_000 - behind_ms, NOW_MS)
    assert lease.end_ms == NOW_MS + max_lease_ms(granted_ms)


@pytest.mark.parametrize(
    ("age_ms", "misdirected_until_ms"),
    [
        (0.0, NOW_MS),
        (1_000.0, NOW_MS),
        (20_000.0, NOW_MS - 20_000 + defaults.MISDIRECTED_ORDERS_MS),
    ],
)
def test_a_new_leader_counts_the_longest_lease_of_a_young_upstream(
    lease, age_ms, misdirected_until_ms
):
    """Guards against a lease that an earlier leader's order for another incarnation was granted."""
    lease.note_inherited(NOW_MS - age_ms, NOW_MS)
    assert lease.end_ms == misdirected_until_ms + max_lease_ms(LONGEST_MS)


def test_a_new_leader_does_not_wait_for_the_longest_lease_of_an_old_upstream(lease):
    """Guards against tasks that start again seconds later than they could after each take-over."""
    lease.note_inherited(NOW_MS - 40_000, NOW_MS)
    assert lease.end_ms == NOW_MS + max_lease_ms(LEASE_MS)


def test_an_order_without_an_answer_leaves_confirmed_runs_alone(lease):
    """Guards against all tasks of a silent upstream waiting for one start without an answer."""
    lease.renew(ClockReading(7_000, NOW_MS), NOW_MS)
    end_ms = lease.end_ms
    lease.note_unanswered(NOW_MS)
    assert lease.end_ms == end_ms
    assert lease.unanswered_end_ms >= NOW_MS + LATE_MS + max_lease_ms(LONGEST_MS)


def test_fencing_tokens_rise_with_links_and_epochs():
    """Guards against orders of an earlier leader or incarnation that are not refused."""
    earlier, later = FencingTokens(3), FencingTokens(4)
    tokens = [earlier.issue() for _ in range(1_000)] + [later.issue(), later.issue()]
    assert tokens == sorted(set(tokens))
    assert {epoch_of(token) for token in tokens} == {3, 4}


def test_the_tokens_of_a_leader_of_months_stay_below_those_of_the_next():
    """Guards against a new leader that upstreams refuse, as the earlier one issued many tokens."""
    earlier, later = FencingTokens(3, issued_count=10**9), FencingTokens(4)
    assert earlier.issue() < later.issue()
