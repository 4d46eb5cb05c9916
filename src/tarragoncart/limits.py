"""Rights of this entry VM under the upper limits of the teams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import Factory, define, frozen

from . import records
from .replay import TeamRights


@frozen
class PeerWants:
    """Rights that a peer lacks, per team."""

    incarnation: str
    wanted_count: Mapping[str, int]


@define
class RightsLedger:
    """Rights that this incarnation holds and uses.

    :param given: rights that are on their way to another holder; they are not used any more,
        although the log does not say so yet.
    """

    incarnation: str
    rights: Mapping[str, TeamRights] = Factory(dict)
    running: Counter[str] = Factory(Counter)
    given: Counter[str] = Factory(Counter)
    asked: Counter[str] = Factory(Counter)

    def held_count(self, team: str) -> int:
        """Return how many jobs of the team this incarnation may run at once."""
        rights = self.rights.get(team)
        count = rights.holders.get(self.incarnation, 0) if rights else 0
        return count - self.given[team]

    def free_count(self, team: str) -> int:
        """Return how many more jobs of the team may start now."""
        return self.held_count(team) - self.running[team]

    def may_start(self, team: str) -> bool:
        """Tell whether a job of the team may start; jobs of open queues have no team."""
        return not team or self.free_count(team) > 0


def plan_rights(
    ledger: RightsLedger,
    waiting: Mapping[str, int],
    wants: list[PeerWants],
    member_count: int,
) -> Iterator[Any]:
    """Yield the records that bring rights to where the demand is.

    An entry VM takes an even part when it starts, more when jobs wait, and passes on what it
    does not use to peers that want it.

    :param waiting: jobs that wait for a right, per team.
    """
    for team, rights in ledger.rights.items():
        even_count = max(1, rights.limit_count // max(1, member_count))
        missing_count = max(even_count - ledger.held_count(team), 0) + waiting.get(team, 0)
        wanted_count = missing_count - max(0, ledger.free_count(team)) * bool(waiting.get(team))
        if wanted_count > 0 and rights.unassigned_count > 0 and not ledger.asked[team]:
            yield records.TakeRights(
                team, ledger.incarnation, min(wanted_count, rights.unassigned_count)
            )
        if not waiting.get(team) and rights.unassigned_count == 0:
            yield from _gifts(ledger, team, wants)


def _gifts(ledger: RightsLedger, team: str, wants: list[PeerWants]) -> Iterator[Any]:
    free_count = ledger.free_count(team)
    for peer in wants:
        count = min(peer.wanted_count.get(team, 0), (free_count + 1) // 2)
        if count > 0:
            free_count -= count
            yield records.TransferRights(team, ledger.incarnation, peer.incarnation, count)
