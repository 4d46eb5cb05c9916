"""This entry VM's record as a candidate for the leadership, and the removal of expired records."""

from __future__ import annotations

import logging
from typing import Any, Protocol

from attrs import define, field

from .candidates import Candidate, RecordWatch
from .errors import StoreConflictError, StoreRefusedError, StoreUnknownError
from .follower import ReadStore, read_newest
from .storage import Appended, Entry

logger = logging.getLogger(__name__)

# Names that are removed in one call of the store; the others follow with the next renewal.
EXPIRED_LIMIT_COUNT = 1_000

CANDIDATE_TOPIC = "keyed.candidates"


class CandidateStore(ReadStore, Protocol):
    """The methods of the store's client that a candidacy uses."""

    async def append(
        self, topic: str, records: Any, *, part: int = 0, expected_end: int | None = None
    ) -> Appended: ...


@define
class Candidacy:
    """Records this entry VM as a candidate; while it leads, removes the records of others.

    A record outlives an entry VM that is removed for good. Each one therefore renews its record,
    and the leader removes those that are no longer renewed. An entry VM whose record was removed
    although it runs, as its renewals were refused, is recorded again with its next renewal.

    :param own: this entry VM.
    """

    own: Candidate
    store: CandidateStore
    _watch: RecordWatch = field(factory=RecordWatch, init=False)

    async def publish(self) -> bool:
        """Record this entry VM, or renew its record; return whether the store has confirmed it."""
        try:
            await self.store.append(CANDIDATE_TOPIC, [(self.own.name, self.own.encode())])
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            logger.warning("cannot record the candidate", extra={"reason": str(error)})
            return False
        return True

    def stop_watching(self) -> None:
        """Forget which records were unchanged, as another entry VM leads."""
        self._watch = RecordWatch()

    async def remove_expired(self) -> tuple[Entry, ...]:
        """Remove the records that are no longer renewed; return all that were read.

        To be called once a renewal period, after this entry VM's own record was renewed.
        """
        entries: tuple[Entry, ...] = ()
        try:
            newest = await read_newest(self.store, CANDIDATE_TOPIC)
            entries = newest.entries
            expired = self._watch.observe({entry.key: entry.offset for entry in entries})
            if not expired:
                return entries
            # The condition excludes the removal of a record that is renewed meanwhile.
            await self.store.append(
                CANDIDATE_TOPIC,
                [(name, b"") for name in expired[:EXPIRED_LIMIT_COUNT]],
                expected_end=newest.end_offset,
            )
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            logger.info("expired candidates stay recorded", extra={"reason": str(error)})
            return entries
        logger.info("expired candidates removed", extra={"candidates": expired})
        return entries
