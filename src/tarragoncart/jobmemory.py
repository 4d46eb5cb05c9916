"""Memory that the leader's jobs may use, and how it is shared among the client accounts."""

from __future__ import annotations

import sys

from attrs import define, field, frozen

from . import defaults
from .graph import StepSpec, Submission

MEGABYTE = 1024 * 1024
# Memory of a job besides its steps.
JOB_BYTES = 3_000
# Memory of a step that differs from all others of its job, and of each number that it depends on.
SPEC_BYTES = 400
DEPENDENCY_BYTES = 36
# Memory of an open step besides its tasks.
STEP_BYTES = 550
# Memory of the state of a task that is no object, in the leader and in the records of its step.
TASK_STATE_BYTES = 24
# Memory of a job that has ended.
ENDED_JOB_BYTES = 700
# Steps of one job that are open at a time, but for those of one occurrence. More only add to the
# memory, as they have the same tasks as those that are open.
OPEN_STEP_LIMIT_COUNT = 1_000


def job_bytes(submission: Submission) -> int:
    """Return the memory that a job takes at most, without the tasks that are objects."""
    spec = submission.spec
    distinct = {id(step): step for step in spec.steps}.values()
    open_count = min(
        len(spec.steps) * max(1, spec.occurrence_count),
        max(len(spec.steps), OPEN_STEP_LIMIT_COUNT),
    )
    task_count = sum(step.task_count for step in spec.steps) * max(1, spec.occurrence_count)
    return (
        JOB_BYTES
        + sys.getsizeof(spec.text)
        + sum(map(_spec_bytes, distinct))
        + STEP_BYTES * open_count
        + TASK_STATE_BYTES * task_count
    )


def _spec_bytes(spec: StepSpec) -> int:
    texts = (spec.rack, spec.label, spec.image)
    dependencies_bytes = DEPENDENCY_BYTES * len(spec.depends_on)
    return SPEC_BYTES + dependencies_bytes + sum(map(sys.getsizeof, texts))


@define(eq=False)
class SharedMemory:
    """Memory that accounts share, without a fixed share for each.

    An account may use as much as is left free beside it (a dynamic threshold, as switches use it
    for their buffers), so that one account alone uses half of the memory, two use a third each, and
    there is always room for another one. An account that uses nothing may have more at once, as
    the largest job needs it, but leaves ``RESERVED_MEMORY_RATIO`` of it free.

    :param limit_bytes: infinite for no limit.
    """

    limit_bytes: float
    used_bytes: int = field(default=0, init=False)
    _used_by_account: dict[str, int] = field(factory=dict, init=False)

    def used_by(self, account: str) -> int:
        """Return the memory that an account uses."""
        return self._used_by_account.get(account, 0)

    def admits(self, account: str, size_bytes: int) -> bool:
        """Return whether an account may use more memory."""
        used_bytes = self.used_by(account)
        free_bytes = self.limit_bytes - self.used_bytes - size_bytes
        if used_bytes + size_bytes <= free_bytes:
            return True
        return not used_bytes and free_bytes >= defaults.RESERVED_MEMORY_RATIO * self.limit_bytes

    def take(self, account: str, size_bytes: int) -> None:
        """Count memory that an account uses."""
        self.used_bytes += size_bytes
        self._used_by_account[account] = self.used_by(account) + size_bytes

    def give_back(self, account: str, size_bytes: int) -> None:
        """Count memory that an account does not use any more."""
        self.used_bytes -= size_bytes
        left_bytes = self.used_by(account) - size_bytes
        if left_bytes:
            self._used_by_account[account] = left_bytes
        else:
            self._used_by_account.pop(account, None)


@frozen
class LeaderMemory:
    """Memory for the jobs of a leader.

    :param jobs: for jobs, with their steps and the states of their tasks.
    :param tasks: for tasks that are objects, as they have had runs.
    :param checkpoints: for the saved progress of tasks.
    :param unloaded: for what is known of jobs that are left in the store.
    :param intake_bytes: for records of jobs that have been read and not been handled.
    """

    jobs: SharedMemory
    tasks: SharedMemory
    checkpoints: SharedMemory
    unloaded: SharedMemory
    intake_bytes: float = float("inf")

    @classmethod
    def unlimited(cls) -> LeaderMemory:
        """Return memory without limits, for jobs that no leader schedules."""
        jobs, tasks, checkpoints, unloaded = (SharedMemory(float("inf")) for _ in range(4))
        return cls(jobs, tasks, checkpoints, unloaded)

    @classmethod
    def of_vm(cls, memory_mb: int) -> LeaderMemory:
        """Return the memory that a VM has for jobs; 0 if the memory of the VM is not known."""
        vm_mb = memory_mb or defaults.VM_MEMORY_DEFAULT_MB
        extra_mb = max(0, vm_mb - defaults.SMALLEST_VM_MB)
        jobs_bytes = _bytes(defaults.JOB_MEMORY_MIN_MB, defaults.JOB_MEMORY_RATIO, extra_mb)
        tasks_bytes = _bytes(defaults.TASK_MEMORY_MIN_MB, defaults.TASK_MEMORY_RATIO, extra_mb)
        return cls(
            SharedMemory(jobs_bytes),
            SharedMemory(tasks_bytes),
            SharedMemory(defaults.CHECKPOINT_MEMORY_RATIO * tasks_bytes),
            SharedMemory(defaults.UNLOADED_MEMORY_RATIO * jobs_bytes),
            defaults.INTAKE_MEMORY_RATIO * jobs_bytes,
        )

    @property
    def used_bytes(self) -> int:
        """Memory in use; that for records counts as a whole, as they may arrive at any time."""
        shares = (self.jobs, self.tasks, self.checkpoints, self.unloaded)
        return sum(share.used_bytes for share in shares) + int(self.intake_bytes)

    def limit_to(self, memory_mb: int) -> bool:
        """Limit what a successor restores to what a VM has for it; return whether that is new.

        What is read anew by each leader keeps its limits.
        """
        limits = LeaderMemory.of_vm(memory_mb)
        changed = self.jobs.limit_bytes != limits.jobs.limit_bytes
        self.jobs.limit_bytes = limits.jobs.limit_bytes
        self.tasks.limit_bytes = limits.tasks.limit_bytes
        self.checkpoints.limit_bytes = limits.checkpoints.limit_bytes
        return changed


def _bytes(min_mb: float, ratio: float, extra_mb: int) -> int:
    return int((min_mb + ratio * extra_mb) * MEGABYTE)
