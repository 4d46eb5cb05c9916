"""Jobs as graphs of steps and tasks, and what the operators say about queues and accounts."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class Demand:
    """Resources: what a task needs, a VM has or an account may use. Zero is none."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def plus(self, other: Demand, factor: int = 1) -> Demand:
        """Return the sum with ``factor`` times ``other``."""
        return Demand(
            self.cpu_millicores + factor * other.cpu_millicores,
            self.memory_mb + factor * other.memory_mb,
            self.gpu_count + factor * other.gpu_count,
        )

    def share_of(self, capacity: Demand) -> float:
        """Return the largest share of a capacity, over all resources that it has."""
        return max(
            self.cpu_millicores / capacity.cpu_millicores if capacity.cpu_millicores else 0.0,
            self.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
            self.gpu_count / capacity.gpu_count if capacity.gpu_count else 0.0,
        )

    def fits(self, free: Demand) -> bool:
        """Tell whether this demand fits into what is free."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.gpu_count <= free.gpu_count
        )


@frozen
class StepSpec:
    """A step: equal tasks that may run once the steps before it are done.

    :param depends_on: numbers of earlier steps.
    :param gang: the tasks only work together.
    :param rack: rack with the data, empty for any.
    :param label: label that the upstream must carry, empty for none.
    :param max_per_upstream_count: most tasks on one upstream, 0 for no limit.
    :param long_running: the tasks run until the job is cancelled.
    :param target_tail_ms: bound of the tail latency of a serving task, 0 if it does not serve.
    :param fills: the tasks use only capacity that others leave unused; their cpu is not counted.
    :param max_away_count: tasks that planned work may take away at once; None without a budget.
    """

    task_count: int
    demand: Demand
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    rack: str = ""
    label: str = ""
    max_per_upstream_count: int = 0
    speculative: bool = False
    checkpointing: bool = False
    long_running: bool = False
    image: str = ""
    target_tail_ms: int = 0
    fills: bool = False
    max_away_count: int | None = None

    @property
    def needs_room_at_once(self) -> bool:
        """Whether waiting for others to end does not give its tasks room."""
        bound = self.max_per_upstream_count or self.label
        return bool(self.long_running or self.gang or bound)

    @property
    def copyable(self) -> bool:
        """Whether its tasks may have two runs at once."""
        return self.speculative and not self.long_running and not self.gang

    @property
    def counted(self) -> Demand:
        """The part of the demand that counts against an upstream's capacity."""
        if not self.fills:
            return self.demand
        return Demand(0, self.demand.memory_mb, self.demand.gpu_count)


@frozen
class JobSpec:
    """What a caller submitted.

    :param text: opaque text that is passed to each task.
    :param occurrence_count: how often the steps run; 0 means once, at once.
    :param first_due_ms: Unix time of occurrence 0.
    """

    text: str
    steps: tuple[StepSpec, ...]
    occurrence_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def scheduled(self) -> bool:
        """Whether the job runs at given times."""
        return self.occurrence_count > 0

    @property
    def work_millicore_ms(self) -> float:
        """Estimate of the work of one occurrence."""
        return sum(
            step.task_count * step.counted.cpu_millicores * step.estimate_ms for step in self.steps
        )

    @property
    def long_running(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)


@frozen
class QueueRule:
    """What the configuration says about a queue.

    :param priority: class 0 goes first.
    :param stretch: objective of a job as a multiple of its longest chain of work.
    :param target_latency_ms: added to that objective.
    :param public: no key is needed.
    """

    name: str
    pool: str
    hostname: str
    path_prefix: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    public: bool = False
    needs_advice: bool = False


@frozen
class PoolRule:
    """What the configuration says about a pool of upstreams."""

    name: str
    spare: bool = False
    checks_capacity: bool = True


@frozen
class AccountRule:
    """A client account: its share when all is full, and its upper limit (0 means none)."""

    name: str
    weight: float
    limit: Demand


@frozen
class Rules:
    """One version of the operators' configuration.

    :param accounts_by_key: account name of each API key.
    """

    version: int
    queues: tuple[QueueRule, ...] = ()
    pools: dict[str, PoolRule] = field(factory=dict)
    accounts: dict[str, AccountRule] = field(factory=dict)
    accounts_by_key: dict[str, str] = field(factory=dict, repr=False)
    body_size_bytes: int = 256 * 1024

    def find_queue(self, hostname: str, path: str) -> QueueRule | None:
        """Return the queue with the longest prefix of the path on that host."""
        best: QueueRule | None = None
        for queue in self.queues:
            if queue.hostname != hostname or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@frozen
class Submission:
    """An accepted job with what the configuration said of its queue at that time.

    :param account: client account of the key; empty on a public queue without a key.
    :param accepted_ms: Unix time of the acceptance, by the clock of the entry VM.
    """

    job_id: str
    queue: str
    pool: str
    account: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    accepted_ms: int
    spec: JobSpec
    needs_advice: bool = False


@frozen
class UpstreamEntry:
    """An upstream as it registers itself.

    :param born_ms: Unix time of its start; another value means another life with the same id.
    :param leaving_ms: least time that a draining upstream still serves.
    """

    upstream_id: str
    pool: str
    address: str
    data_centre: str
    draining: bool
    capacity: Demand
    labels: frozenset[str] = frozenset()
    born_ms: int = 0
    leaving_ms: int = 0
    cold_left_ms: int = 0


@frozen
class WaveRequest:
    """Operators' request to maintain VMs, at most ``concurrent_count`` at once."""

    number: int
    vm_ids: tuple[str, ...]
    within_s: float
    concurrent_count: int


@frozen
class VmEntry:
    """A VM as the platform lists it.

    :param state: ``up``, ``moving``, ``upkeep`` or ``down``.
    """

    vm_id: str
    pool: str
    state: str
    data_centre: str
    rack: str
    capacity: Demand
    upstream_id: str = ""
