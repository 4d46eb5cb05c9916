"""Jobs as graphs of steps, the rules for queues, pools and accounts, and VMs and upstreams."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class Demand:
    """Amounts of resources: the demand of a task, the capacity of a VM or the limit of an account.

    Zero means none of a resource; in the limit of an account it means no limit.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def plus(self, other: Demand, factor: int = 1) -> Demand:
        """Return the sum of this and ``factor`` times ``other``."""
        return Demand(
            self.cpu_millicores + factor * other.cpu_millicores,
            self.memory_mb + factor * other.memory_mb,
            self.gpu_count + factor * other.gpu_count,
        )

    def share_of(self, capacity: Demand) -> float:
        """Return this as a share of a capacity, for the resource with the largest share."""
        return max(
            self.cpu_millicores / capacity.cpu_millicores if capacity.cpu_millicores else 0.0,
            self.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
            self.gpu_count / capacity.gpu_count if capacity.gpu_count else 0.0,
        )

    def fits(self, free: Demand) -> bool:
        """Return whether this demand fits into the free resources."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.gpu_count <= free.gpu_count
        )


@frozen
class StepSpec:
    """A step: identical tasks that may run once the steps that it depends on are done.

    :param demand: resources of each task.
    :param estimate_ms: estimated duration of a task, 0 if unknown.
    :param depends_on: numbers of earlier steps.
    :param gang: the tasks must be started together (gang scheduling).
    :param same_rack: the tasks of a gang should run in one rack.
    :param rack: preferred rack, which has the data; empty for any.
    :param label: label that the upstream must have, empty for none.
    :param max_per_upstream_count: maximum of tasks on one upstream, 0 for no limit.
    :param speculative: a second run of a task may start while the first continues.
    :param checkpointing: the tasks save progress, from which another run can resume.
    :param long_running: the tasks run until the job is cancelled.
    :param target_tail_ms: target of the tail latency of a serving task, 0 if it does not serve.
    :param fills: best-effort tasks, which use only cpu that other tasks leave unused; their cpu
        does not count against the capacity of an upstream.
    :param max_away_count: disruption budget: maximum of tasks that may be unavailable at once
        because of planned stops; None for no limit.
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
    def copyable(self) -> bool:
        """Whether a task may have two runs at once."""
        return self.speculative and not self.long_running and not self.gang

    @property
    def counted(self) -> Demand:
        """The part of the demand that counts against the capacity of an upstream."""
        if not self.fills:
            return self.demand
        return Demand(0, self.demand.memory_mb, self.demand.gpu_count)


@frozen
class JobSpec:
    """A job as a caller submitted it.

    :param text: opaque text that is passed to each task.
    :param occurrence_count: number of times that the steps run on a schedule; 0 means once,
        immediately.
    :param first_due_ms: Unix time of the first occurrence.
    :param interval_ms: time between occurrences.
    """

    text: str
    steps: tuple[StepSpec, ...]
    occurrence_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def scheduled(self) -> bool:
        """Whether the job runs on a schedule."""
        return self.occurrence_count > 0

    @property
    def work_millicore_ms(self) -> float:
        """Estimated work of one occurrence, as cpu multiplied by time."""
        return sum(
            step.task_count * step.counted.cpu_millicores * step.estimate_ms for step in self.steps
        )

    @property
    def long_running(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)


@frozen
class QueueRule:
    """The configuration of a queue.

    :param hostname: host of the requests that belong to the queue.
    :param path_prefix: prefix of their paths.
    :param priority: priority class; class 0 comes first.
    :param max_attempts: runs of a task that may fail before its job fails.
    :param stretch: how long a job may take and still be on time, as a multiple of its critical
        path.
    :param target_latency_ms: added to that time.
    :param public: requests need no API key.
    :param needs_advice: tasks only run on upstreams for which the advice service gives a ticket.
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
    """The configuration of a pool of upstreams.

    :param spare: it is the spare pool, which supplies VMs to the others.
    """

    name: str
    spare: bool = False
    checks_capacity: bool = True


@frozen
class AccountRule:
    """The configuration of a client account.

    :param weight: its share under overload, in jobs per second.
    :param limit: upper limit of its running demand; zero for a resource without limit.
    """

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
        """Return the queue of a host whose prefix is the longest that matches a path."""
        best: QueueRule | None = None
        for queue in self.queues:
            if queue.hostname != hostname or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@frozen
class Submission:
    """An accepted job with the configuration of its queue at the time of acceptance.

    :param account: client account of the API key; empty on a public queue without a key.
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

    @classmethod
    def to_queue(
        cls, queue: QueueRule, job_id: str, account: str, accepted_ms: int, spec: JobSpec
    ) -> Submission:
        """Return a submission with the configuration that its queue has now."""
        return cls(
            job_id=job_id,
            queue=queue.name,
            pool=queue.pool,
            account=account,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            target_latency_ms=queue.target_latency_ms,
            accepted_ms=accepted_ms,
            spec=spec,
            needs_advice=queue.needs_advice,
        )


@frozen
class UpstreamEntry:
    """The registration of an upstream.

    :param draining: it is leaving and must get no new tasks.
    :param started_ms: Unix time of its start; another value means another incarnation with the same
        ID.
    :param leaving_ms: minimum time for which a draining upstream continues to serve.
    """

    upstream_id: str
    pool: str
    address: str
    data_centre: str
    draining: bool
    capacity: Demand
    labels: frozenset[str] = frozenset()
    started_ms: int = 0
    leaving_ms: int = 0
    cold_left_ms: int = 0


@frozen
class WaveRequest:
    """A request of the operators to maintain VMs.

    :param within_s: deadline of the wave, from the request on.
    :param concurrent_count: maximum of VMs that may be down at once.
    """

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
