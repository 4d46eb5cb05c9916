"""Accepted jobs that the leader leaves in the store until it has memory for them."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator

from attrs import define, evolve, field, frozen

from .jobmemory import SharedMemory

# Memory of what is known of a job that is left in the store.
UNLOADED_JOB_BYTES = 800
# Loads of an account that tell when there may be room for another one of its jobs.
LOADS_WINDOW_MS = 30_000.0
LOADS_KEPT_COUNT = 64
# Share of the memory that is used at most when the store is read for jobs that are not known.
ROOM_USED_RATIO = 0.25


@frozen
class UnloadedJob:
    """What is known of a job that is left in the store.

    :param account: client account; None if its record has not been decoded.
    :param queue: name of its queue; None if its record has not been decoded.
    :param size_bytes: memory that it needs; 0 if its record has not been decoded.
    :param parts: partitions that hold its record.
    """

    job_id: str
    account: str | None
    queue: str | None
    size_bytes: int
    parts: frozenset[int]


@define(eq=False)
class UnloadedJobs:
    """Accepted jobs that are left in the store, in the order in which they were read.

    :param memory: memory for what is known of them.
    :param complete: False if the store may hold accepted jobs that are not known at all, as there
        was no memory for them; the store must be read again to find them.
    """

    memory: SharedMemory
    complete: bool = field(default=True, init=False)
    # Whether jobs were left out again since the store is being read once more.
    _left_out: bool = field(default=False, init=False)
    _by_id: dict[str, UnloadedJob] = field(factory=dict, init=False)
    # Jobs that wait to be loaded, and cancelled ones, which end when there is memory for that.
    _ids_by_account: dict[str | None, dict[str, None]] = field(factory=dict, init=False)
    _cancelled_ids: dict[str, None] = field(factory=dict, init=False)
    _count_by_account: Counter[str | None] = field(factory=Counter, init=False)
    _count_by_queue: Counter[str | None] = field(factory=Counter, init=False)
    # By account, times of the latest loads.
    _loads_ms: dict[str, deque[float]] = field(factory=dict, init=False)

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._by_id

    def add(self, job: UnloadedJob) -> bool:
        """Add a job; return whether there was memory for it."""
        if not self.memory.admits(job.account or "", UNLOADED_JOB_BYTES):
            self.note_left_out()
            return False
        self.memory.take(job.account or "", UNLOADED_JOB_BYTES)
        self._by_id[job.job_id] = job
        self._count_by_account[job.account] += 1
        self._ids_by_account.setdefault(job.account, {})[job.job_id] = None
        self._count_by_queue[job.queue] += 1
        return True

    def find(self, job_id: str) -> UnloadedJob | None:
        """Return a job, None if it is not known here."""
        return self._by_id.get(job_id)

    def waits(self, job_id: str) -> bool:
        """Return whether a job waits to be loaded."""
        return job_id in self._by_id and job_id not in self._cancelled_ids

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job is cancelled and has not ended."""
        return job_id in self._cancelled_ids

    def cancel(self, job_id: str, part: int) -> bool:
        """Cancel a job; return whether it is known here.

        :param part: partition that holds the record of its cancellation.
        """
        if job_id not in self._by_id:
            return False
        self.add_part(job_id, part)
        if job_id not in self._cancelled_ids:
            self._cancelled_ids[job_id] = None
            self._stop_waiting(self._by_id[job_id])
        return True

    def cancelled_ids(self) -> tuple[str, ...]:
        """Return the cancelled jobs that have not ended."""
        return tuple(self._cancelled_ids)

    def note_left_out(self) -> None:
        """Note that an accepted job is not known, as there was no memory for it."""
        self.complete, self._left_out = False, True

    @property
    def has_room(self) -> bool:
        """Whether there is memory for many more jobs of any account.

        One account that has left as many jobs as it may uses half of the memory.
        """
        return self.memory.used_bytes <= ROOM_USED_RATIO * self.memory.limit_bytes

    def begin_reading(self) -> None:
        """Begin to read the store again from its first record."""
        self._left_out = False

    def end_reading(self) -> None:
        """Note that the whole store has been read again."""
        self.complete = not self._left_out

    def add_part(self, job_id: str, part: int) -> None:
        """Note that another partition holds a record of a job as well."""
        job = self._by_id[job_id]
        self._by_id[job_id] = evolve(job, parts=job.parts | {part})

    def remove(self, job_id: str) -> UnloadedJob | None:
        """Remove and return a job, None if it is not known here."""
        job = self._by_id.pop(job_id, None)
        if job is None:
            return None
        self.memory.give_back(job.account or "", UNLOADED_JOB_BYTES)
        self._count_by_account[job.account] -= 1
        if not self._count_by_account[job.account]:
            del self._count_by_account[job.account]
        if job_id in self._cancelled_ids:
            del self._cancelled_ids[job_id]
        else:
            self._stop_waiting(job)
        return job

    def _stop_waiting(self, job: UnloadedJob) -> None:
        ids = self._ids_by_account[job.account]
        del ids[job.job_id]
        if not ids:
            del self._ids_by_account[job.account]
        self._count_by_queue[job.queue] -= 1

    def delays(self, account: str) -> bool:
        """Return whether jobs of an account are left in the store, which come first."""
        return account in self._ids_by_account

    def next_loadable(self, admits: Callable[[str, int], bool]) -> UnloadedJob | None:
        """Return the first job of an account for which there is memory now, None if there is none.

        :param admits: returns whether an account may use more memory.
        """
        for account, ids in self._ids_by_account.items():
            job = self._by_id[next(iter(ids))]
            if admits(account or "", job.size_bytes):
                return job
        return None

    def count_of_queue(self, queue: str) -> int | None:
        """Return how many jobs of a queue are left in the store, None if that is not known."""
        if not self.complete or self._count_by_queue[None]:
            return None
        return self._count_by_queue[queue]

    def note_load(self, account: str, now_ms: float) -> None:
        """Note that a job that was left in the store has been loaded, and move its account back."""
        loads_ms = self._loads_ms.setdefault(account, deque(maxlen=LOADS_KEPT_COUNT))
        loads_ms.append(now_ms)
        if account in self._ids_by_account:
            self._ids_by_account[account] = self._ids_by_account.pop(account)

    def full_accounts(self, now_ms: float) -> Iterator[tuple[str, float]]:
        """Yield the accounts for whose jobs there is no memory, and when there may be some.

        The time is the pause in ms between two of its jobs that were loaded lately; infinite if
        there were none.
        """
        for account in self._count_by_account:
            if account is None or self.memory.admits(account, UNLOADED_JOB_BYTES):
                continue
            loads_ms = [
                at_ms
                for at_ms in self._loads_ms.get(account, ())
                if now_ms - at_ms <= LOADS_WINDOW_MS
            ]
            pause_ms = (now_ms - loads_ms[0]) / len(loads_ms) if loads_ms else float("inf")
            yield account, pause_ms
