"""This entry VM's rights under the teams' upper limits.

A right allows its holder to run one job of a team at a time. A team has as many rights as its
limit, and they move between entry VMs by records in the log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import Factory, define, frozen

from . import records
from .replay import TeamRights


@frozen
class PeerDemand:
    """Number of rights that a peer lacks, per team."""

    incarnation: str
    wanted_count: Mapping[str, int]


@define
class RightsLedger:
    """Rights that this incarnation holds and uses.

    :param outgoing: rights in transfer to another holder, per team. They are no longer used here,
        although the transfer has not been replayed yet.
    :param pending_requests: take and settle records that have not been replayed yet, per team.
    :param held_back_running: running jobs, per team, whose rights have been held back by a lower
        limit. They do not count against the rights that this incarnation may use.
    :param reserved_for_peers: rights, per team, that are kept free for peers as jobs end.
    """

    incarnation: str
    rights: Mapping[str, TeamRights] = Factory(dict)
    running: Counter[str] = Factory(Counter)
    outgoing: Counter[str] = Factory(Counter)
    pending_requests: Counter[str] = Factory(Counter)
    reserved_for_peers: Counter[str] = Factory(Counter)
    held_back_running: Counter[str] = Factory(Counter)

    def update(self, rights: Mapping[str, TeamRights]) -> None:
        """Replace the rights by those of the latest replayed state."""
        previous, self.rights = self.rights, rights
        for team in rights:
            held_back_count = self._held_back_count(rights, team)
            if held_back_count > self._held_back_count(previous, team):
                # A lower limit holds back all rights, so every running job uses one of them.
                self.held_back_running[team] = min(self.running[team], held_back_count)
            else:
                self.held_back_running[team] = min(self.held_back_running[team], held_back_count)

    def _held_back_count(self, rights: Mapping[str, TeamRights], team: str) -> int:
        return rights[team].held.get(self.incarnation, 0) if team in rights else 0

    def job_ended(self, team: str) -> None:
        """Record that a running job has ended."""
        self.running[team] -= 1
        self.held_back_running[team] = max(0, self.held_back_running[team] - 1)

    def held_count(self, team: str) -> int:
        """Return how many jobs of the team this incarnation may run at once."""
        rights = self.rights.get(team)
        count = rights.holders.get(self.incarnation, 0) if rights else 0
        return count - self.outgoing[team]

    def free_count(self, team: str) -> int:
        """Return how many more jobs of the team may start now."""
        used_count = self.running[team] - self.held_back_running[team]
        return self.held_count(team) - self.reserved_for_peers[team] - used_count

    def may_start(self, team: str) -> bool:
        """Return whether a job of the team may start; jobs of open queues have no team."""
        return not team or self.free_count(team) > 0

    def sent(self, record: Any) -> None:
        """Count a record about rights that has been sent to the log.

        The giver stops using transferred rights now, before the receiver can use them.
        """
        if isinstance(record, records.TransferRights):
            self.outgoing[record.team] += record.count
        else:
            self.pending_requests[record.team] += 1

    def ended(self, record: Any) -> None:
        """Stop counting a record passed to :meth:`sent`: it is in ``rights`` or was not written.

        Records of an earlier incarnation of this entry VM do not count.
        """
        if isinstance(record, records.TransferRights):
            self.outgoing[record.team] -= record.count * (record.giver == self.incarnation)
        else:
            self.pending_requests[record.team] -= record.incarnation == self.incarnation


def plan_rights(
    ledger: RightsLedger,
    waiting: Mapping[str, int],
    peer_demands: list[PeerDemand],
    member_count: int,
    *,
    draining: bool = False,
) -> Iterator[Any]:
    """Yield the records that move rights to the entry VMs with demand.

    An entry VM takes an equal share of each limit when it starts and more while jobs wait, and
    transfers unused rights to peers that lack some. While its own jobs wait, it transfers only
    what exceeds an equal share. If a limit is lower than the number of members, the equal share
    is 0, so the rights circulate.

    :param waiting: number of waiting jobs, per team.
    :param peer_demands: rights that peers lack.
    :param draining: whether to return unneeded rights to the unassigned ones.
    """
    for team, rights in ledger.rights.items():
        waiting_count = waiting.get(team, 0)
        ledger.reserved_for_peers[team] = 0
        held_back_count = rights.held.get(ledger.incarnation, 0)
        if held_back_count > ledger.held_back_running[team] and not ledger.pending_requests[team]:
            count = held_back_count - ledger.held_back_running[team]
            yield records.SettleRights(team, ledger.incarnation, held_back_count, count)
        if draining:
            spare_count = ledger.free_count(team) - waiting_count
            if spare_count > 0:
                yield records.TransferRights(team, ledger.incarnation, "", spare_count)
            continue
        equal_share_count = rights.limit_count // max(1, member_count)
        missing_count = max(1, equal_share_count) - ledger.held_count(team)
        count = max(missing_count, missing_rights_count(ledger, team, waiting_count))
        if count > 0 and rights.unassigned_count > 0 and not ledger.pending_requests[team]:
            count = min(count, rights.unassigned_count)
            yield records.TakeRights(team, ledger.incarnation, count)
        if not rights.unassigned_count:
            yield from _plan_transfers(ledger, team, peer_demands, equal_share_count, waiting_count)


def missing_rights_count(ledger: RightsLedger, team: str, waiting_count: int) -> int:
    """Return how many of the waiting jobs lack a right; the others wait for an upstream."""
    return max(0, waiting_count - max(0, ledger.free_count(team)))


def _plan_transfers(
    ledger: RightsLedger,
    team: str,
    peer_demands: list[PeerDemand],
    equal_share_count: int,
    waiting_count: int,
) -> Iterator[Any]:
    """Yield transfers of free rights, and reserve rights that will be transferred as jobs end."""
    # Each giver starts with the peer after itself, so that no peer is always served last.
    peer_order = sorted(
        peer_demands, key=lambda peer: (peer.incarnation < ledger.incarnation, peer.incarnation)
    )
    spare_count = max(0, ledger.held_count(team) - equal_share_count)
    free_count = max(0, ledger.free_count(team))
    # Several entry VMs may give at once, so one without waiting jobs gives half of its free rights.
    free_count = min(free_count, spare_count) if waiting_count else (free_count + 1) // 2
    for peer in peer_order:
        wanted_count = peer.wanted_count.get(team, 0)
        count = min(wanted_count, free_count)
        if count > 0:
            free_count -= count
            yield records.TransferRights(team, ledger.incarnation, peer.incarnation, count)
        spare_count = max(0, spare_count - count)
        reserved_count = min(wanted_count - count, spare_count)
        spare_count -= reserved_count
        ledger.reserved_for_peers[team] += reserved_count
