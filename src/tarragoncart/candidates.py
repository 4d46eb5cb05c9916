"""Choice of the entry VM that should lead from a survey of the candidates, and their expiry."""

from __future__ import annotations

import enum
import json
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence

from attrs import define, field, frozen

from . import defaults
from .decoding import check_address, check_float, check_int, decoder, parse_object


@frozen
class Candidate:
    """An entry VM that may lead, as recorded in the store.

    :param name: name of the entry VM, which stays the same across its restarts.
    :param address: address at which other entry VMs reach it.
    :param memory_mb: memory that its process may use; 0 if it is not known.
    """

    name: str
    address: str
    cpu_millicores: int
    link_mbps: float
    memory_mb: int = 0

    @property
    def ability(self) -> float:
        """Scarcer one of its resources, as a multiple of what the reference leader has."""
        cpu_ratio = self.cpu_millicores / defaults.REFERENCE_LEADER_MILLICORES
        link_ratio = self.link_mbps / defaults.REFERENCE_LEADER_LINK_MBPS
        return round(min(cpu_ratio, link_ratio), 2)

    def encode(self) -> bytes:
        """Return the value of its record; the key is its name."""
        data = {
            "address": self.address,
            "cpu_millicores": self.cpu_millicores,
            "link_mbps": self.link_mbps,
            "memory_mb": self.memory_mb,
        }
        return json.dumps(data).encode()


@decoder("candidate")
def decode_candidate(name: str, value: bytes) -> Candidate:
    """Decode a record.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(value)
    return Candidate(
        name,
        check_address(data.get("address"), "address"),
        check_int(data.get("cpu_millicores"), "cpu_millicores"),
        float(check_float(data.get("link_mbps"), "link_mbps")),
        # Versions that do not bound what a leader keeps do not record it.
        check_int(data.get("memory_mb", 0), "memory_mb"),
    )


def least_memory_mb(candidates: Iterable[Candidate]) -> int:
    """Return the memory of the smallest of some candidates."""
    return min(c.memory_mb or defaults.VM_MEMORY_DEFAULT_MB for c in candidates)


class LeaderView(enum.Enum):
    """What an entry VM has found out about the leader recorded in the store."""

    UNKNOWN = "unknown"
    LEADS = "leads"
    NOT_LEADING = "not_leading"
    UNREACHABLE = "unreachable"


@frozen
class CandidateStatus:
    """Answer of a candidate to a survey.

    :param willing: the store confirms its membership, and nothing speaks against its leading.
    :param claiming: it is claiming an epoch.
    :param leader_view: result of its own query to the recorded leader.
    """

    willing: bool
    claiming: bool
    leader_view: LeaderView


@frozen
class Survey:
    """What an entry VM knows when it decides whether an epoch is claimed, and by whom.

    :param own_willing: whether the entry VM itself would answer that it is willing.
    :param own_view: result of its query to the recorded leader; ``UNKNOWN`` if none is recorded.
    :param reason: reason for that result.
    :param uptime_ms: time since it began to take part in the election.
    :param sole_member: whether the store has assigned all partitions to it, so that the group has
        no other member.
    :param candidates: all other candidates recorded.
    :param statuses: answers of the candidates asked, by name; those that did not answer are
        missing.
    """

    own: Candidate
    own_willing: bool
    own_view: LeaderView
    reason: str
    uptime_ms: float
    sole_member: bool
    candidates: tuple[Candidate, ...]
    statuses: Mapping[str, CandidateStatus]


@frozen
class Decision:
    """Result of a survey.

    :param event: event of the chart ``leadership``: ``occupied`` (there is a leader, or one is
        claiming), ``postponed``, ``isolated`` (another entry VM should decide), ``delegated`` (the
        candidate should claim) or ``vacant`` (the entry VM itself should claim).
    """

    event: str
    reason: str
    candidate: Candidate | None = None


@frozen
class Reach:
    """Which of the registered upstreams answer the leader.

    :param unreached_addresses: addresses of some that do not answer.
    """

    registered_count: int
    answering_count: int
    unreached_addresses: tuple[str, ...]

    @property
    def poor(self) -> bool:
        """Whether most upstreams do not answer, and enough are registered to tell."""
        return (
            self.registered_count >= defaults.REACH_MIN_COUNT
            and self.answering_count < defaults.REACH_MIN_RATIO * self.registered_count
        )


def choose_successor(
    candidates: Iterable[Candidate],
    reached_counts: Mapping[str, int],
    own_count: int,
    asked_count: int,
) -> Candidate | None:
    """Return the ablest candidate that can connect to most upstreams that do not answer the leader.

    If none can, the failure is one that all entry VMs share; if the leader can as well, the
    upstreams or the leader are slow, and a successor would fare no better. The leader keeps the
    lead in both cases.

    :param reached_counts: number of those upstreams that a candidate connects to, by name.
    :param own_count: number of those upstreams that the leader connects to.
    :param asked_count: number of those upstreams.
    """
    required_count = max(1.0, defaults.REACH_MIN_RATIO * asked_count)
    if own_count >= required_count:
        return None
    able = [c for c in candidates if reached_counts.get(c.name, 0) >= required_count]
    return min(able, key=lambda candidate: (-candidate.ability, candidate.name), default=None)


def _rank(candidates: Iterable[Candidate]) -> list[Candidate]:
    return sorted(candidates, key=lambda candidate: (-candidate.ability, candidate.name))


def select_respondents(candidates: Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Return the candidates to ask first: the ablest ones."""
    return tuple(_rank(candidates)[: defaults.SURVEY_CANDIDATE_COUNT])


def survey_rounds(candidates: Sequence[Candidate]) -> Iterator[tuple[Candidate, ...]]:
    """Yield the candidates to ask in each round of a survey.

    The first round asks the ablest ones and those recorded last, which are the least likely to have
    been removed. A later round is for a survey without any answer: that all candidates asked before
    have been removed is no sign that the others cannot be reached.

    :param candidates: in the order of their records, the oldest one first.
    """
    first = select_respondents(candidates)
    newest = candidates[-defaults.SURVEY_NEWEST_COUNT :]
    first += tuple(candidate for candidate in newest if candidate not in first)
    yield first
    others = _rank(candidate for candidate in candidates if candidate not in first)
    for start in range(0, len(others), defaults.SURVEY_ROUND_COUNT):
        yield tuple(others[start : start + defaults.SURVEY_ROUND_COUNT])


@frozen
class _Sighting:
    """Offset of a record, and how many later observations found it unchanged."""

    offset: int
    unchanged_count: int = 0


@define
class RecordWatch:
    """Finds the records of candidates that are no longer renewed.

    It counts observations, one in each renewal period of the observer, instead of time: while the
    store is down, there are neither renewals nor observations.
    """

    _sightings: dict[str, _Sighting] = field(factory=dict, init=False)

    def observe(self, offsets: Mapping[str, int]) -> tuple[str, ...]:
        """Return the names whose records have expired.

        :param offsets: offset of the newest record of each candidate, by name.
        """
        sightings = {}
        for name, offset in offsets.items():
            earlier = self._sightings.get(name)
            unchanged_count = 0
            if earlier is not None and earlier.offset == offset:
                unchanged_count = earlier.unchanged_count + 1
            sightings[name] = _Sighting(offset, unchanged_count)
        self._sightings = sightings
        return tuple(
            name
            for name, sighting in sightings.items()
            if sighting.unchanged_count >= defaults.CANDIDATE_EXPIRY_COUNT
        )


def is_settled(
    own_ability: float,
    own_view: LeaderView,
    leader_address: str,
    statuses: Mapping[str, CandidateStatus],
    respondents: Iterable[Candidate],
    answered: Collection[str],
) -> bool:
    """Return whether the candidates that have not answered yet can be ignored.

    :param own_ability: ability of the entry VM itself, 0 if it is not willing.
    :param own_view: result of its query to the recorded leader.
    :param leader_address: address of the recorded leader, empty if there is none. If it answers
        that it does not lead, it may still be claiming: its claim is stored, but it has not been
        told so.
    :param statuses: answers so far.
    :param answered: names of the respondents that answered or cannot be reached.
    """
    views = [status.leader_view for status in statuses.values()]
    if LeaderView.LEADS in views:
        return True
    if own_view is LeaderView.UNREACHABLE and len(views) < defaults.SURVEY_WITNESS_COUNT:
        return False
    if own_view is LeaderView.NOT_LEADING and any(
        c.address == leader_address and c.name not in answered for c in respondents
    ):
        return False
    willing = [c.ability for c in respondents if c.name in statuses and statuses[c.name].willing]
    best_ability = max([own_ability, *willing])
    waited_for = [c.ability for c in respondents if c.name not in answered]
    return best_ability > 0 and max(waited_for, default=0.0) <= best_ability


def decide(survey: Survey) -> Decision:
    """Decide whether the leadership is vacant, and which candidate should claim it."""
    for name, status in survey.statuses.items():
        if status.leader_view is LeaderView.LEADS:
            return Decision("occupied", f"{name} reaches the leader")
        if status.claiming:
            return Decision("occupied", f"{name} is claiming an epoch")
    unreached = survey.own_view is LeaderView.UNREACHABLE and not survey.statuses
    if unreached and survey.candidates and not survey.sole_member:
        return Decision("isolated", f"no other candidate answers; {survey.reason}")
    willing = [
        candidate
        for candidate in survey.candidates
        if candidate.name in survey.statuses and survey.statuses[candidate.name].willing
    ]
    best = min(willing, key=lambda candidate: (-candidate.ability, candidate.name), default=None)
    if best is not None and (best.ability > survey.own.ability or not survey.own_willing):
        return Decision("delegated", survey.reason, best)
    if survey.uptime_ms < defaults.ELECTION_SETTLE_MS and _may_abler_one_come(survey):
        return Decision("postponed", f"abler candidates may still be starting; {survey.reason}")
    return Decision("vacant", survey.reason)


def _may_abler_one_come(survey: Survey) -> bool:
    """Return whether an abler candidate is recorded, or records may still be missing."""
    if survey.own_view is LeaderView.UNKNOWN:
        return True
    return any(candidate.ability > survey.own.ability for candidate in survey.candidates)
