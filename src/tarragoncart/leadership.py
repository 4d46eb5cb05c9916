"""Messages about the leadership, which the election exchanges with other actors."""

from __future__ import annotations

import asyncio
import json

from attrs import frozen

from .candidates import CandidateStatus, Reach
from .decoding import check_address, check_str, decoder, parse_object


@frozen
class Leader:
    """The entry VM that schedules, with the epoch that fences earlier leaders."""

    name: str
    address: str
    epoch: int

    def encode(self) -> bytes:
        """Return the value of its record, whose offset gives the epoch."""
        return json.dumps({"name": self.name, "address": self.address}).encode()


@decoder("leader")
def decode_leader(value: bytes, epoch: int) -> Leader:
    """Decode the record of a leader.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(value)
    address = check_address(data.get("address"), "address")
    return Leader(check_str(data.get("name"), "name"), address, epoch)


@frozen
class LeadershipGained:
    """This entry VM has claimed an epoch."""

    epoch: int


@frozen
class LeadershipConfirmed:
    """The store has confirmed the leadership.

    :param valid_until_ms: orders may be sent until then.
    :param recent_until_ms: the confirmation counts as recent until then; afterwards another entry
        VM should take over.
    """

    valid_until_ms: float
    recent_until_ms: float


@frozen
class LeadershipLost:
    """This entry VM must stop scheduling."""

    epoch: int
    reason: str


@frozen
class SmallestCandidateKnown:
    """Memory of the smallest entry VM that may lead after this one."""

    memory_mb: int


@frozen
class LeaderFound:
    """The leader recorded in the store."""

    leader: Leader


@frozen
class FindLeader:
    """Look up the leader again: the known one does not answer or does not lead."""


@frozen
class Fenced:
    """The store or an upstream has seen a higher epoch than this one."""

    epoch: int


@frozen
class QueryCandidate:
    """Ask whether this entry VM would lead.

    :param leader_address: leader whose state the answer also reports; empty for none.
    :param reply: resolved with a :class:`CandidateStatus`.
    """

    leader_address: str
    reply: asyncio.Future[CandidateStatus]


@frozen
class RequestClaim:
    """Ask this entry VM to claim an epoch.

    :param end_offset: end of the leader's partition on condition of which to claim.
    :param reply: resolved with whether it claims.
    """

    end_offset: int
    reply: asyncio.Future[bool]


@frozen
class QueryReach:
    """Ask how many of some upstreams this entry VM reaches.

    :param reply: resolved with the number.
    """

    upstream_addresses: tuple[str, ...]
    reply: asyncio.Future[int]


@frozen
class ReachMeasured:
    """Which upstreams answer this entry VM, while it leads with this epoch."""

    epoch: int
    reach: Reach


@frozen
class Leave:
    """Leave the group at once, for a planned stop."""

    reply: asyncio.Future[None]
