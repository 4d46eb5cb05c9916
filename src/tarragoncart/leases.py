"""The leader's estimate of when the runs at an upstream end if their lease is not renewed again.

A lease ends at a time on the clock of the incarnation for which it was computed. A misdirected
order is one for an earlier incarnation that a later one takes. Its clock may be behind, so that it
grants its longest lease.
"""

from __future__ import annotations

from attrs import define, field, frozen

from . import defaults

# Time of an order that was never sent.
NEVER_MS = float("-inf")


def max_lease_ms(lease_ms: float) -> float:
    """Return the longest time for which a lease may last, by the leader's clock."""
    return lease_ms / (1 - defaults.CLOCK_DRIFT_RATIO) + defaults.LEASE_MARGIN_MS


@frozen
class ClockReading:
    """A reading of an upstream's monotonic clock.

    :param clock_ms: the clock in the answer.
    :param read_ms: local time at which the answer arrived.
    """

    clock_ms: int
    read_ms: float

    def estimate_ms(self, now_ms: float) -> float:
        """Return the clock at a local time."""
        return self.clock_ms + now_ms - self.read_ms


@define
class LeaseEstimate:
    """The lease of the runs at one upstream, as far as the leader knows.

    :param lease_ms: duration of the lease that the leader asks for.
    :param longest_ms: longest lease that the upstream grants.
    :param end_ms: time by which all runs end that are known to be at the incarnation that answered
        last.
    :param unanswered_sent_ms: when the latest order without an answer was sent that may have
        extended a lease, possibly that of a later incarnation; negative infinity for none.
    """

    lease_ms: float
    longest_ms: float
    end_ms: float = field(default=0.0, init=False)
    unanswered_sent_ms: float = field(default=NEVER_MS, init=False)

    def renew(self, reading: ClockReading, now_ms: float) -> int:
        """Extend the lease; return its new end on the upstream's clock."""
        self._extend(now_ms + max_lease_ms(self.lease_ms))
        return int(reading.estimate_ms(now_ms) + self.lease_ms)

    def note_granted(self, until_ms: int, clock_ms: int, now_ms: float) -> None:
        """Note an accepted order whose answer shows the clock of the incarnation that took it.

        :param until_ms: end of the lease in the order.
        """
        granted_ms = min(max(0, until_ms - clock_ms), self.longest_ms)
        self._extend(now_ms + max_lease_ms(granted_ms))

    def note_misdirected(self, taken_until_ms: float) -> None:
        """Note that the upstream may have taken misdirected orders until a local time."""
        self._extend(taken_until_ms + max_lease_ms(self.longest_ms))

    def note_inherited(self, birth_ms: float, now_ms: float) -> None:
        """Note the first answer in an epoch; earlier leaders may have renewed the lease.

        :param birth_ms: local time of the upstream's start.
        """
        self._extend(now_ms + max_lease_ms(self.lease_ms))
        self.note_misdirected(last_misdirected_ms(birth_ms, now_ms))

    def note_unanswered(self, sent_ms: float) -> None:
        """Note an order without an answer that may have extended a lease."""
        self.unanswered_sent_ms = max(self.unanswered_sent_ms, sent_ms)

    @property
    def unanswered_end_ms(self) -> float:
        """Time by which a run ends that an order without an answer has started, however late."""
        taken_ms = self.unanswered_sent_ms + defaults.ORDER_DELAY_MAX_MS
        return taken_ms + max_lease_ms(self.longest_ms)

    def _extend(self, end_ms: float) -> None:
        self.end_ms = max(self.end_ms, end_ms)


def last_misdirected_ms(birth_ms: float, now_ms: float) -> float:
    """Return until when an upstream may have taken misdirected orders.

    :param birth_ms: local time of its start.
    """
    return min(now_ms, birth_ms + defaults.MISDIRECTED_ORDERS_MS)
