"""Messages between the scheduler and the links to upstreams."""

from __future__ import annotations

from attrs import frozen

from .leases import NEVER_MS
from .runs import StartOrder, UpstreamReport

# Reason of a start that was not sent in time. It says nothing about the upstream.
NOT_SENT_IN_TIME = "not sent in time"


@frozen
class Start:
    """Start a run.

    :param send_until_ms: the start is not sent after this time, but counts as refused.
    """

    order: StartOrder
    send_until_ms: float = float("inf")


@frozen
class Stop:
    """Stop a run; retried until the upstream has confirmed it.

    While an earlier order to stop the same run is being sent, it only ends the pause before the
    next try.
    """

    task_name: str
    run: int


@frozen
class RejectLateStart:
    """Keep a start without an answer from being carried out late: its run counts as ended.

    The upstream is silent and all its leases have expired. They are not renewed, and nothing is
    started, until the upstream has confirmed a stop of the run.
    """

    task_name: str
    run: int


@frozen
class SetPace:
    """Limit a run to a percentage of its full speed."""

    task_name: str
    run: int
    percent: int


@frozen
class PollUpstream:
    """Poll the upstream once after a delay, concurrently with the long poll."""

    delay_ms: float = 0.0


@frozen
class Acknowledge:
    """The ends of runs up to this number are stored.

    :param started_ms: start time of the incarnation that listed these ends.
    """

    number: int
    started_ms: int


@frozen
class ExtendPermission:
    """Orders may be sent until ``valid_until_ms``."""

    valid_until_ms: float


@frozen
class ReportReceived:
    """Report of an upstream.

    :param requested_ms: when the report was requested.
    :param lease_end_ms: time by which all runs end that it has confirmed, if its lease is not
        renewed again.
    """

    upstream_id: str
    report: UpstreamReport
    requested_ms: float
    lease_end_ms: float


@frozen
class PollFailed:
    """A poll of an upstream has failed.

    :param reason: reason of the refusal, or text of the error.
    :param gone: another upstream answered at its address.
    :param lease_end_ms: time by which all runs end that it has confirmed, if its lease is not
        renewed again.
    :param unanswered_sent_ms: when the latest order without an answer was sent that may have
        extended a lease, negative infinity for none.
    """

    upstream_id: str
    reason: str
    gone: bool
    lease_end_ms: float
    unanswered_sent_ms: float = NEVER_MS


@frozen
class StartOutcome:
    """Outcome of a start.

    :param outcome: ``accepted``, ``refused`` or ``unanswered``.
    :param lease_end_ms: time by which the run ends if it was accepted and its lease is not renewed.
    :param unanswered_sent_ms: when the latest order without an answer was sent that may have
        extended a lease, negative infinity for none.
    """

    upstream_id: str
    task_name: str
    run: int
    outcome: str
    reason: str = ""
    lease_end_ms: float = 0.0
    unanswered_sent_ms: float = NEVER_MS


@frozen
class StopConfirmed:
    """The upstream has confirmed a stop."""

    upstream_id: str
    task_name: str
    run: int


@frozen
class PaceOutcome:
    """Outcome of an order for a pace.

    :param outcome: ``accepted``, ``refused``, or ``unanswered`` if a repetition may succeed.
    """

    task_name: str
    run: int
    percent: int
    outcome: str


@frozen
class FencedByUpstream:
    """An upstream has seen a fencing token of a later leader."""

    upstream_id: str
