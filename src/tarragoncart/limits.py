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
    :param asked: takes that the log has not answered yet.
    :param legacy: running jobs whose rights a lower limit has held back; they are not counted
        against the rights that this incarnation may use.
    :param withheld: rights that are kept free, as soon as their jobs end, for peers that want them.
    """

    incarnation: str
    rights: Mapping[str, TeamRights] = Factory(dict)
    running: Counter[str] = Factory(Counter)
    given: Counter[str] = Factory(Counter)
    asked: Counter[str] = Factory(Counter)
    withheld: Counter[str] = Factory(Counter)
    legacy: Counter[str] = Factory(Counter)

    def update(self, rights: Mapping[str, TeamRights]) -> None:
        """Take in the rights that the log now shows."""
        previous, self.rights = self.rights, rights
        for team in rights:
            held_count = self._held_back_count(rights, team)
            if held_count > self._held_back_count(previous, team):
                # The limit has taken all rights, so every job that runs now does so under them.
                self.legacy[team] = min(self.running[team], held_count)
            else:
                self.legacy[team] = min(self.legacy[team], held_count)

    def _held_back_count(self, rights: Mapping[str, TeamRights], team: str) -> int:
        return rights[team].held.get(self.incarnation, 0) if team in rights else 0

    def job_ended(self, team: str) -> None:
        """Note that a running job has ended."""
        self.running[team] -= 1
        self.legacy[team] = max(0, self.legacy[team] - 1)

    def held_count(self, team: str) -> int:
        """Return how many jobs of the team this incarnation may run at once."""
        rights = self.rights.get(team)
        count = rights.holders.get(self.incarnation, 0) if rights else 0
        return count - self.given[team]

    def free_count(self, team: str) -> int:
        """Return how many more jobs of the team may start now."""
        used_count = self.running[team] - self.legacy[team]
        return self.held_count(team) - self.withheld[team] - used_count

    def may_start(self, team: str) -> bool:
        """Tell whether a job of the team may start; jobs of open queues have no team."""
        return not team or self.free_count(team) > 0

    def sent(self, record: Any) -> None:
        """Note a record that moves rights; the giver lets go before the receiver may use them."""
        if isinstance(record, records.TransferRights):
            self.given[record.team] += record.count
        else:
            self.asked[record.team] += 1

    def ended(self, record: Any) -> None:
        """Note that a record of :meth:`sent` is in ``rights`` or was not written.

        Records of an earlier incarnation of this entry VM do not count.
        """
        if isinstance(record, records.TransferRights):
            self.given[record.team] -= record.count * (record.giver == self.incarnation)
        else:
            self.asked[record.team] -= record.incarnation == self.incarnation


def plan_rights(
    ledger: RightsLedger,
    waiting: Mapping[str, int],
    wants: list[PeerWants],
    member_count: int,
    *,
    draining: bool = False,
) -> Iterator[Any]:
    """Yield the records that bring rights to where the demand is.

    An entry VM takes an even part when it starts, more when jobs wait, and passes on what it does
    not use to peers that want it. While its own jobs wait, it passes on what exceeds an even part;
    a limit below the number of members has no even part, so its rights go round.

    :param waiting: jobs that wait for a right, per team.
    :param draining: return what is not needed any more to the unassigned rights.
    """
    for team, rights in ledger.rights.items():
        waiting_count = waiting.get(team, 0)
        ledger.withheld[team] = 0
        held_count = rights.held.get(ledger.incarnation, 0)
        if held_count > ledger.legacy[team] and not ledger.asked[team]:
            count = held_count - ledger.legacy[team]
            yield records.SettleRights(team, ledger.incarnation, held_count, count)
        if draining:
            spare_count = ledger.free_count(team) - waiting_count
            if spare_count > 0:
                yield records.TransferRights(team, ledger.incarnation, "", spare_count)
            continue
        even_count = rights.limit_count // max(1, member_count)
        missing_count = max(1, even_count) - ledger.held_count(team)
        count = max(missing_count, lacking_count(ledger, team, waiting_count))
        if count > 0 and rights.unassigned_count > 0 and not ledger.asked[team]:
            count = min(count, rights.unassigned_count)
            yield records.TakeRights(team, ledger.incarnation, count)
        if not rights.unassigned_count:
            yield from _gifts(ledger, team, wants, even_count, waiting_count)


def lacking_count(ledger: RightsLedger, team: str, waiting_count: int) -> int:
    """Return how many of the waiting jobs lack a right; others wait for an upstream."""
    return max(0, waiting_count - max(0, ledger.free_count(team)))


def _gifts(
    ledger: RightsLedger,
    team: str,
    wants: list[PeerWants],
    even_count: int,
    waiting_count: int,
) -> Iterator[Any]:
    """Yield what can be given now, and withhold what is to be given once its jobs have ended."""
    # Each giver starts with the peer after itself, so that no peer is always the last one.
    ring = sorted(wants, key=lambda peer: (peer.incarnation < ledger.incarnation, peer.incarnation))
    spare_count = max(0, ledger.held_count(team) - even_count)
    free_count = max(0, ledger.free_count(team))
    # Several peers may give at once, so an idle one gives half of what it has.
    free_count = min(free_count, spare_count) if waiting_count else (free_count + 1) // 2
    for peer in ring:
        wanted_count = peer.wanted_count.get(team, 0)
        count = min(wanted_count, free_count)
        if count > 0:
            free_count -= count
            yield records.TransferRights(team, ledger.incarnation, peer.incarnation, count)
        spare_count = max(0, spare_count - count)
        withheld_count = min(wanted_count - count, spare_count)
        spare_count -= withheld_count
        ledger.withheld[team] += withheld_count
