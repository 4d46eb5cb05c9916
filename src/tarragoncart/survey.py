"""Asks the recorded leader and the candidates, for an election."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import Protocol, TypeVar

from attrs import define, field, frozen

from . import defaults
from .candidacy import CANDIDATE_TOPIC
from .candidates import (
    Candidate,
    CandidateStatus,
    LeaderView,
    choose_successor,
    decode_candidate,
    select_respondents,
    survey_rounds,
)
from .decoding import MalformedLog
from .errors import DecodeError, PeerError, StoreRefusedError, StoreUnknownError
from .follower import ReadStore, read_newest
from .storage import Entry

logger = logging.getLogger(__name__)


class CandidatePeers(Protocol):
    """The methods of the peers' client that an election uses; each raises PeerError."""

    async def is_leader(self, address: str) -> bool: ...

    async def query_candidate(self, address: str, leader_address: str) -> CandidateStatus: ...

    async def request_claim(self, address: str, end_offset: int) -> bool: ...

    async def count_reached(self, address: str, upstream_addresses: tuple[str, ...]) -> int: ...


Answer = TypeVar("Answer")
IsSettled = Callable[[Mapping[str, CandidateStatus], tuple[Candidate, ...], Collection[str]], bool]


@define
class _Answers:
    """What a survey has found out so far.

    :param statuses: answers by name.
    :param answered: names of the respondents that have answered or failed.
    """

    respondents: tuple[Candidate, ...] = ()
    statuses: dict[str, CandidateStatus] = field(factory=dict)
    answered: set[str] = field(factory=set)

    @property
    def complete(self) -> bool:
        """Whether all respondents have answered or failed."""
        return len(self.answered) == len(self.respondents)

    def add(self, name: str, status: CandidateStatus | None) -> None:
        """Add the answer of a respondent, None if it has failed."""
        self.answered.add(name)
        if status is not None:
            self.statuses[name] = status


@frozen
class Surveyor:
    """Calls of an election to the store and to other candidates; the election owns the clients.

    :param own: this entry VM.
    :param malformed: notes candidates whose records cannot be decoded.
    """

    own: Candidate
    store: ReadStore
    peers: CandidatePeers
    malformed: MalformedLog = field(factory=lambda: MalformedLog("candidates"))

    async def query_leader(self, address: str) -> tuple[LeaderView, str]:
        """Query the recorded leader; return the result and a reason for the log.

        :param address: address of the recorded leader, empty if there is none.
        """
        if not address:
            return LeaderView.UNKNOWN, "no leader is recorded"
        try:
            if await self.peers.is_leader(address):
                return LeaderView.LEADS, f"{address} leads"
        except PeerError as error:
            return LeaderView.UNREACHABLE, str(error)
        return LeaderView.NOT_LEADING, f"{address} does not lead"

    async def query_candidates(
        self, leader_address: str, is_settled: IsSettled | None = None
    ) -> tuple[tuple[Candidate, ...], dict[str, CandidateStatus]]:
        """Return the other recorded candidates, and the answers of those asked by name.

        :func:`survey_rounds` tells which are asked; a round follows only if none has answered.

        :param leader_address: leader that they should query as well, empty for none.
        :param is_settled: tells from the answers so far, the respondents and the names of those
            that have answered or failed, whether the remaining ones can be ignored.
        """
        recorded = await self.read_candidates()
        others = tuple(candidate for candidate in recorded if candidate.name != self.own.name)
        survey = _Answers()
        for respondents in survey_rounds(others):
            survey.respondents += respondents
            await self._ask_round(respondents, leader_address, survey, is_settled)
            if survey.statuses or not survey.complete:
                break
        logger.info(
            "candidates asked",
            extra={
                "recorded_count": len(others),
                "asked_count": len(survey.respondents),
                "answer_count": len(survey.statuses),
            },
        )
        return others, survey.statuses

    async def _ask_round(
        self,
        respondents: tuple[Candidate, ...],
        leader_address: str,
        survey: _Answers,
        is_settled: IsSettled | None,
    ) -> None:
        """Ask candidates, and add their answers to those of earlier rounds."""

        def query(address: str) -> Awaitable[CandidateStatus]:
            return self.peers.query_candidate(address, leader_address)

        queries = {asyncio.ensure_future(self._ask(c, query)): c for c in respondents}
        pending = set(queries)
        try:
            while pending:
                if is_settled is not None and is_settled(
                    survey.statuses, survey.respondents, survey.answered
                ):
                    break
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    survey.add(queries[task].name, task.result())
        finally:
            for task in pending:
                task.cancel()

    async def find_successor(
        self, upstream_addresses: tuple[str, ...], own_count: int
    ) -> tuple[Candidate | None, bool]:
        """Find a candidate that reaches upstreams that this entry VM does not.

        Returns the candidate, if there is one, and whether any candidate has answered.

        :param upstream_addresses: upstreams that the candidates should try to reach.
        :param own_count: number of those upstreams that this entry VM reaches.
        """
        others, statuses = await self.query_candidates("")
        willing = [c for c in others if c.name in statuses and statuses[c.name].willing]
        respondents = select_respondents(willing)[: defaults.REACH_CANDIDATE_COUNT]

        def count(address: str) -> Awaitable[int]:
            return self.peers.count_reached(address, upstream_addresses)

        counts = await asyncio.gather(*(self._ask(c, count) for c in respondents))
        reached_counts = {c.name: n or 0 for c, n in zip(respondents, counts, strict=True)}
        logger.info(
            "candidates asked for their reach",
            extra={
                "upstream_count": len(upstream_addresses),
                "own_count": own_count,
                "reached_counts": reached_counts,
            },
        )
        successor = choose_successor(
            respondents, reached_counts, own_count, len(upstream_addresses)
        )
        return successor, bool(statuses)

    async def read_candidates(self) -> tuple[Candidate, ...]:
        """Return the candidates recorded in the store, the oldest record first.

        Returns none if they cannot be read.
        """
        try:
            newest = await read_newest(self.store, CANDIDATE_TOPIC)
        except (StoreUnknownError, StoreRefusedError) as error:
            logger.warning("cannot read the candidates", extra={"reason": str(error)})
            return ()
        return self.decode(newest.entries)

    def decode(self, entries: Iterable[Entry]) -> tuple[Candidate, ...]:
        """Return the candidates of some records, the oldest record first."""
        candidates = []
        for entry in sorted(entries, key=lambda entry: entry.offset):
            try:
                candidates.append(decode_candidate(entry.key, entry.value))
            except DecodeError as error:
                self.malformed.add(entry.key, error, entry.offset)
        return tuple(candidates)

    async def _ask(
        self, candidate: Candidate, call: Callable[[str], Awaitable[Answer]]
    ) -> Answer | None:
        """Return a candidate's answer to a call to its address, None without one."""
        try:
            return await call(candidate.address)
        except PeerError as error:
            logger.info(
                "candidate does not answer",
                extra={"candidate": candidate.name, "reason": str(error)},
            )
            return None
