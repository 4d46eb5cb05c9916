"""Records of accepted and cancelled jobs, which entry VMs write and the leader reads.

A partition of the store takes one append at a time. The entry VMs are spread over the partitions,
so that a slow store does not make them wait for each other; the leader reads all partitions.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from zlib import crc32

from attrs import frozen
from cattrs import Converter
from cattrs.gen import make_dict_unstructure_fn

from . import defaults
from .follower import Follower, TopicChanges, TopicSnapshot
from .graph import Demand, JobSpec, StepSpec, Submission
from .mailbox import Actor, new_reply, receives, resolve
from .storage import Entry
from .timer import Timer
from .writer import STORED, Write, Writer

TOPIC = "keyed.intake"
# Name under which the leader drops the records of jobs that are forgotten.
DROPPER = "dropper"
JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"

_converter = Converter()
for _type in (Demand, StepSpec, JobSpec, Submission):
    # Fields at their defaults are left out: bytes in the store are paid for.
    _converter.register_unstructure_hook(
        _type, make_dict_unstructure_fn(_type, _converter, _cattrs_omit_if_default=True)
    )


def submission_record(submission: Submission) -> tuple[str, bytes]:
    """Return the record of an accepted job."""
    data = _converter.unstructure(submission)
    return JOB_PREFIX + submission.job_id, json.dumps(data, separators=(",", ":")).encode()


def cancel_record(job_id: str, at_ms: int) -> tuple[str, bytes]:
    """Return the record of a cancelled job."""
    return CANCEL_PREFIX + job_id, str(at_ms).encode()


def decode_submission(value: bytes) -> Submission:
    """Decode the record of an accepted job.

    :raises ValueError: if it is malformed.
    """
    data: Any = json.loads(value)
    try:
        return _converter.structure(data, Submission)
    except Exception as error:
        raise ValueError(f"malformed submission: {error!r}") from error


def parts_of(entry_name: str, part_count: int) -> tuple[int, ...]:
    """Return the partitions to which an entry VM writes: the usual one, and one to fall back on."""
    first = crc32(entry_name.encode()) % part_count
    second = (first + part_count // 2) % part_count
    return (first,) if first == second else (first, second)


@frozen
class IntakeRead:
    """Records of jobs and cancels; the first message holds all that are kept.

    :param entries: with the partition of each.
    :param as_of_ms: the records are at least as new as this time.
    """

    entries: tuple[tuple[int, Entry], ...]
    as_of_ms: float


@frozen
class DropJob:
    """Drop the records of a job from the partitions that hold some.

    :param reply: resolved with whether they are gone.
    """

    job_id: str
    parts: frozenset[int]
    reply: asyncio.Future[bool]


class IntakeReader(Actor):
    """Follows all partitions for the leader, and drops what is forgotten.

    :param make_store: returns a client of the store for one task.
    :param listener: gets :class:`IntakeRead`.
    """

    def __init__(
        self,
        epoch: int,
        part_count: int,
        make_store: Callable[[], Any],
        listener: Actor,
        timer: Timer,
    ) -> None:
        super().__init__("intake reader")
        self._epoch = epoch
        self._make_store = make_store
        self._listener = listener
        self._timer = timer
        self._as_of_ms: dict[int, float] = {}
        self._unread: list[tuple[int, Entry]] = []
        self._part_count = part_count
        self._followers: list[Follower] = []
        self._writers: dict[int, Writer] = {}

    async def opened(self) -> None:
        """Start reading each partition."""
        for part in range(self._part_count):
            follower = Follower(
                self._make_store(),
                TOPIC,
                self,
                self._timer,
                wait_ms=defaults.INTAKE_WAIT_MS,
                part=part,
            )
            self._followers.append(follower)
            follower.start()

    async def closed(self) -> None:
        """Stop reading and writing."""
        parts = (*self._followers, *self._writers.values())
        await asyncio.gather(*(part.stop() for part in parts), return_exceptions=True)

    @receives(TopicSnapshot)
    def on_snapshot(self, message: TopicSnapshot) -> None:
        """Take in all keys of a partition."""
        self._take(message.part, message.entries, message.as_of_ms)

    @receives(TopicChanges)
    def on_changes(self, message: TopicChanges) -> None:
        """Take in the newest records of a partition."""
        self._take(message.part, message.entries, message.as_of_ms)

    def _take(self, part: int, entries: tuple[Entry, ...], as_of_ms: float) -> None:
        """Pass records on, once each partition has been read."""
        self._unread.extend((part, entry) for entry in entries)
        self._as_of_ms[part] = as_of_ms
        if len(self._as_of_ms) == self._part_count:
            read, self._unread = tuple(self._unread), []
            self._listener.tell(IntakeRead(read, min(self._as_of_ms.values())))

    @receives(DropJob)
    def on_drop(self, message: DropJob) -> None:
        """Drop a job's records."""
        self.spawn(self._drop(message))

    async def _drop(self, message: DropJob) -> None:
        keys = (JOB_PREFIX + message.job_id, CANCEL_PREFIX + message.job_id)
        replies = []
        for part in message.parts:
            reply = new_reply()
            replies.append(reply)
            self._writer(part).tell(Write(tuple((key, b"") for key in keys), reply))
        outcomes = await asyncio.gather(*replies)
        resolve(message.reply, all(outcome == STORED for outcome in outcomes))

    def _writer(self, part: int) -> Writer:
        writer = self._writers.get(part)
        if writer is None:
            writer = Writer(
                f"intake dropper {part}",
                self._make_store(),
                TOPIC,
                DROPPER,
                self._epoch,
                self._timer,
                part=part,
            )
            self._writers[part] = writer
            writer.start()
        return writer
