"""Decisions of the admission control of connections, without sockets or encoding.

The load that they address: clients that open many connections, send heads and bodies without end or
stop just short of it, and never read their answers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Generic, TypeVar

from attrs import Factory, define, evolve, field, frozen

from . import defaults
from .charts import Chart, load_chart
from .registry import Registry

MEGABYTE = 1024 * 1024

C = TypeVar("C", bound=Hashable)


@frozen
class RefusalKind:
    """A reason for which a request is refused or a connection is closed.

    :param status: status of the answer; 0 if the connection is closed without one.
    """

    name: str
    message: str
    status: int = 0


HEAD_TOO_LARGE = RefusalKind("head_too_large", "head of the request is too large", 431)
EMPTY_LINES = RefusalKind("empty_lines", "too many empty lines before the request", 400)
HEAD_TIMEOUT = RefusalKind("head_timeout", "head of a request did not arrive in time")
BODY_TOO_LARGE = RefusalKind("body_too_large", "body is larger than the limit", 413)
TRAILERS_TOO_LARGE = RefusalKind(
    "trailers_too_large", "fields after the request body are too large", 431
)
BODY_ENCODING = RefusalKind("body_encoding", "compressed bodies are not accepted", 415)
BODY_INCOMPLETE = RefusalKind("body_incomplete", "request body did not arrive completely", 400)
BODY_TIMEOUT = RefusalKind("body_timeout", "request body did not arrive in time", 408)
BODY_STALLED = RefusalKind("body_stalled", "body is late and other requests need its room", 408)
BODY_MEMORY = RefusalKind("body_memory", "no memory for the request's body", 503)
CONNECTION_COUNT = RefusalKind("connection_count", "too many connections")
ADDRESS_COUNT = RefusalKind("address_count", "too many connections from one address")
JOB_MEMORY = RefusalKind("job_memory", "the leader's jobs use the memory of the connection")
EVICTED = RefusalKind("evicted", "connection made room for a new one")
IDLE_TIMEOUT = RefusalKind("idle_timeout", "connection was not used")
UNREAD_ANSWER = RefusalKind("unread_answer", "client does not read its answer")
UNREAD_COUNT = RefusalKind("unread_count", "too many clients do not read their answers")
MALFORMED = RefusalKind("malformed", "request is not valid HTTP", 400)


@frozen
class ConnectionLimits:
    """Limits of the connections of one listener.

    :param per_address_count: limit for each client address.
    """

    total_count: int
    per_address_count: int

    def lend(self, lent_bytes: int) -> ConnectionLimits:
        """Return the limits while other data uses some of the memory of the connections.

        Some connections remain, so that callers are served whatever the other data.
        """
        if not lent_bytes:
            return self
        lent_count = math.ceil(lent_bytes / defaults.CONNECTION_COST_BYTES)
        kept_count = math.ceil(defaults.CONNECTION_KEPT_RATIO * self.total_count)
        return evolve(self, total_count=max(kept_count, self.total_count - lent_count))


@frozen
class MemoryLimits:
    """Limits of a process that follow from its VM.

    :param callers: connections of the listener for callers.
    :param peers: connections of the listener for other entry VMs.
    :param ready: connections of the listener for readiness checks.
    :param metrics: connections of the listener for metrics.
    :param large_bytes: memory for bodies of any size.
    :param small_bytes: memory that only small bodies may use.
    :param peer_bytes: memory for bodies from other entry VMs, which no other listener may use.
    """

    callers: ConnectionLimits
    peers: ConnectionLimits
    ready: ConnectionLimits
    metrics: ConnectionLimits
    large_bytes: int
    small_bytes: int
    peer_bytes: int


def side_limits(*counts: int) -> ConnectionLimits:
    """Return the limits of a listener that is not for callers: the lowest of several counts."""
    return ConnectionLimits(min(counts), min(counts))


def derive_limits(
    memory_mb: int, fd_limit_count: int, largest_body_bytes: int, largest_peer_body_bytes: int
) -> MemoryLimits:
    """Derive the limits from a VM's memory and descriptors; 0 means unknown.

    :param largest_body_bytes: largest body of a caller or operator; one always fits.
    :param largest_peer_body_bytes: largest body from another entry VM; one always fits.
    """
    vm_mb = memory_mb or defaults.VM_MEMORY_DEFAULT_MB
    shared_mb = max(vm_mb - defaults.IDLE_PROCESS_MB, defaults.SHARED_MEMORY_MIN_MB)
    shared_bytes = shared_mb * MEGABYTE
    fd_count = (fd_limit_count or defaults.VM_FD_LIMIT_DEFAULT_COUNT) - defaults.FILE_FD_COUNT

    def share(memory_ratio: float, fd_ratio: float, taken_bytes: int = 0) -> int:
        by_memory = (memory_ratio * shared_bytes - taken_bytes) / defaults.CONNECTION_COST_BYTES
        return max(1, int(min(by_memory, fd_ratio * fd_count)))

    large_share_bytes = int(defaults.LARGE_BODY_MEMORY_RATIO * shared_bytes)
    largest_cost_bytes = largest_body_bytes * defaults.BODY_COST_RATIO
    large_bytes = max(large_share_bytes, largest_cost_bytes, defaults.LARGEST_JOB_COST_BYTES)
    total = share(
        defaults.CONNECTION_MEMORY_RATIO,
        defaults.CONNECTION_FD_RATIO,
        large_bytes - large_share_bytes,
    )
    per_address = max(1, int(defaults.ADDRESS_CONNECTION_RATIO * total))
    peer_bytes = int(defaults.PEER_BODY_MEMORY_RATIO * shared_bytes)
    return MemoryLimits(
        ConnectionLimits(total, per_address),
        side_limits(
            defaults.PEER_CONNECTION_LIMIT_COUNT,
            share(defaults.PEER_CONNECTION_MEMORY_RATIO, defaults.PEER_FD_RATIO),
        ),
        side_limits(
            defaults.READY_CONNECTION_LIMIT_COUNT,
            share(defaults.READY_CONNECTION_MEMORY_RATIO, defaults.READY_FD_RATIO),
        ),
        side_limits(
            defaults.METRICS_CONNECTION_LIMIT_COUNT,
            share(defaults.METRICS_CONNECTION_MEMORY_RATIO, defaults.METRICS_FD_RATIO),
        ),
        large_bytes,
        int(defaults.SMALL_BODY_MEMORY_RATIO * shared_bytes),
        max(peer_bytes, largest_peer_body_bytes * defaults.BODY_COST_RATIO),
    )


def decoded_bytes(body: bytes) -> int:
    """Return the memory that a JSON body takes at most while it is decoded and handled.

    A container that is not closed is not made, and nesting is limited.
    """
    container_count = min(body.count(b"["), body.count(b"]"))
    container_count += min(body.count(b"{"), body.count(b"}"))
    value_count = body.count(b",") + body.count(b":")
    return (
        defaults.BODY_COST_RATIO * len(body)
        + defaults.DECODED_CONTAINER_BYTES * container_count
        + defaults.DECODED_VALUE_BYTES * value_count
    )


@define(eq=False)
class MemoryShare(Generic[C]):
    """Memory for bodies, with what each holder has reserved of it."""

    limit_bytes: int
    used_bytes: int = field(init=False, default=0)
    _reserved: dict[C, int] = field(init=False, factory=dict)

    def __contains__(self, holder: C) -> bool:
        return holder in self._reserved

    @property
    def free_bytes(self) -> int:
        """Memory that nobody has reserved."""
        return self.limit_bytes - self.used_bytes

    def reserved_bytes(self, holder: C) -> int:
        """Return what a holder has reserved."""
        return self._reserved.get(holder, 0)

    def raise_to(self, holder: C, cost_bytes: int) -> bool:
        """Raise what a holder has reserved to a cost; return whether there is enough memory."""
        extra = max(0, cost_bytes - self.reserved_bytes(holder))
        if extra > self.free_bytes:
            return False
        self._reserved[holder] = self.reserved_bytes(holder) + extra
        self.used_bytes += extra
        return True

    def release(self, holder: C) -> None:
        """Release what a holder has reserved, if anything."""
        self.used_bytes -= self._reserved.pop(holder, 0)


@define
class BodyBudget(Generic[C]):
    """Memory reserved for the bodies of requests, before they are read.

    Small bodies use a share of their own first, so that large ones cannot keep them out.

    :param large_bytes: memory for bodies of any size.
    :param small_bytes: memory for small bodies only.
    """

    large_bytes: int
    small_bytes: int
    _large: MemoryShare[C] = field(
        init=False, default=Factory(lambda self: MemoryShare(self.large_bytes), takes_self=True)
    )
    _small: MemoryShare[C] = field(
        init=False, default=Factory(lambda self: MemoryShare(self.small_bytes), takes_self=True)
    )

    @property
    def used_bytes(self) -> int:
        """Memory reserved at the moment."""
        return self._large.used_bytes + self._small.used_bytes

    def _shares(self, size_bytes: int) -> tuple[MemoryShare[C], ...]:
        """Return the shares that a body may use, in the order in which it does."""
        if size_bytes <= defaults.SMALL_BODY_LIMIT_BYTES:
            return self._small, self._large
        return (self._large,)

    def reserve(self, holder: C, size_bytes: int) -> bool:
        """Reserve memory for a body; return whether there is enough."""
        cost = size_bytes * defaults.BODY_COST_RATIO
        return any(share.raise_to(holder, cost) for share in self._shares(size_bytes))

    def extend(self, holder: C, cost_bytes: int) -> bool:
        """Raise what a holder has reserved to a cost; return whether there is enough memory."""
        share = self._small if holder in self._small else self._large
        return share.raise_to(holder, cost_bytes)

    def release(self, holder: C) -> None:
        """Release what a holder has reserved, if anything."""
        self._small.release(holder)
        self._large.release(holder)

    def find_victims(self, size_bytes: int, stalled: Iterable[C]) -> list[C]:
        """Return the holders whose release makes room for a body; empty if there is no way.

        :param stalled: holders whose bodies are late, the latest of them first.
        """
        cost = size_bytes * defaults.BODY_COST_RATIO
        shares = self._shares(size_bytes)
        free = {share: share.free_bytes for share in shares}
        victims: dict[MemoryShare[C], list[C]] = {share: [] for share in shares}
        for holder in stalled:
            share = next((share for share in shares if holder in share), None)
            if share is None:
                continue
            victims[share].append(holder)
            free[share] += share.reserved_bytes(holder)
            if free[share] >= cost:
                return victims[share]
        return []


@frozen
class Admission(Generic[C]):
    """Whether a new connection is admitted.

    :param victim: connection to close in favour of the new one.
    :param refusal: why the new connection is closed, None if it is admitted.
    """

    victim: C | None = None
    refusal: RefusalKind | None = None


# By state in which a connection waits for its client: the longest time, and what follows.
StateTimeout = Callable[[], tuple[float, RefusalKind]]
STATE_TIMEOUTS: Registry[StateTimeout] = Registry("timeout of a connection's state")


@STATE_TIMEOUTS.register("idle")
def idle_timeout() -> tuple[float, RefusalKind]:
    """Close connections that are not used."""
    return defaults.IDLE_CONNECTION_TIMEOUT_MS, IDLE_TIMEOUT


@STATE_TIMEOUTS.register("head")
def head_timeout() -> tuple[float, RefusalKind]:
    """Close connections whose request does not get complete."""
    return defaults.HEAD_TIMEOUT_MS, HEAD_TIMEOUT


@STATE_TIMEOUTS.register("body")
def body_timeout() -> tuple[float, RefusalKind]:
    """Give up requests whose body stops short of its end."""
    return defaults.BODY_TIMEOUT_MS, BODY_TIMEOUT


@STATE_TIMEOUTS.register("answer")
def answer_timeout() -> tuple[float, RefusalKind]:
    """Close connections whose client does not read."""
    return defaults.UNREAD_ANSWER_TIMEOUT_MS, UNREAD_ANSWER


@define
class ConnectionTable(Generic[C]):
    """Connections of one listener, by state and by the time since which they wait for the client.

    A connection in the state ``handling`` waits for this process and is never closed by a limit.
    """

    limits: ConnectionLimits
    chart: Chart = Factory(lambda: load_chart("connection"))
    _states: dict[C, str] = field(init=False, factory=dict)
    _addresses: dict[C, str] = field(init=False, factory=dict)
    _address_counts: dict[str, int] = field(init=False, factory=dict)
    # Ordered by time, because a connection is added when it enters the state.
    _waiting: dict[str, dict[C, float]] = field(
        init=False, factory=lambda: {state: {} for state in STATE_TIMEOUTS}
    )

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._states)

    def open(self, connection: C, address: str, now_ms: float) -> Admission[C]:
        """Admit a new connection, in place of the one that has waited longest if need be."""
        address_count = self._address_counts.get(address, 0)
        victim: C | None = None
        if address_count >= self.limits.per_address_count:
            victim = self._find_longest_waiting(address)
            if victim is None:
                return Admission(refusal=ADDRESS_COUNT)
        elif len(self._states) >= self.limits.total_count:
            victim = self._find_longest_waiting()
            if victim is None:
                return Admission(refusal=CONNECTION_COUNT)
        if victim is not None:
            self.close(victim)
        self._addresses[connection] = address
        self._address_counts[address] = self._address_counts.get(address, 0) + 1
        self._states[connection] = self.chart.initial
        self._waiting[self.chart.initial][connection] = now_ms
        return Admission(victim)

    def _find_longest_waiting(self, address: str | None = None) -> C | None:
        found: C | None = None
        found_since_ms = float("inf")
        for waiting in self._waiting.values():
            for connection, since_ms in waiting.items():
                if since_ms >= found_since_ms:
                    break
                if address is None or self._addresses[connection] == address:
                    found, found_since_ms = connection, since_ms
                    break
        return found

    def pop_excess(self) -> list[C]:
        """Remove the connections to close because the limit has become lower.

        Those that have waited longest come first.
        """
        victims = []
        while len(self._states) > self.limits.total_count:
            victim = self._find_longest_waiting()
            if victim is None:
                break
            victims.append(victim)
            self.close(victim)
        return victims

    def state(self, connection: C) -> str | None:
        """Return the state of a connection, None if it is not open."""
        return self._states.get(connection)

    def fire(self, connection: C, event: str, now_ms: float) -> None:
        """Apply an event; one that the state does not accept changes nothing."""
        state = self._states.get(connection)
        transition = self.chart.transitions.get((state, event)) if state else None
        if transition is None:
            return
        waiting = self._waiting.get(state)  # type: ignore[arg-type]
        if waiting is not None:
            waiting.pop(connection, None)
        self._states[connection] = transition.state
        waiting = self._waiting.get(transition.state)
        if waiting is not None:
            waiting[connection] = now_ms

    def renew(self, connection: C, now_ms: float) -> None:
        """Start the time of a connection's state again, as its client has made progress."""
        waiting = self._waiting.get(self._states.get(connection, ""))
        if waiting is not None:
            del waiting[connection]
            waiting[connection] = now_ms

    def close(self, connection: C) -> None:
        """Remove a connection, if it is there."""
        state = self._states.pop(connection, None)
        if state is None:
            return
        waiting = self._waiting.get(state)
        if waiting is not None:
            waiting.pop(connection, None)
        address = self._addresses.pop(connection)
        self._address_counts[address] -= 1
        if not self._address_counts[address]:
            del self._address_counts[address]

    def expired(self, now_ms: float) -> list[tuple[C, RefusalKind]]:
        """Return the connections that have waited for their clients for too long, and why."""
        return [
            (connection, kind)
            for state, timeout in STATE_TIMEOUTS.items()
            for timeout_ms, kind in (timeout(),)
            for connection in self._older(state, now_ms - timeout_ms)
        ]

    def unread(self) -> list[C]:
        """Return the connections whose clients have not read their answers, the oldest first."""
        return list(self._waiting["answer"])

    def pop_excess_unread(self, unread_bytes: Callable[[C], int]) -> list[C]:
        """Remove the connections to close because clients leave too many answers unread.

        Those whose answers have been unread for longest come first.

        :param unread_bytes: returns the size of what a client has not read.
        """
        sizes = {connection: unread_bytes(connection) for connection in self.unread()}
        count_limit = max(1.0, defaults.UNREAD_CONNECTION_RATIO * self.limits.total_count)
        left_count, left_bytes = len(sizes), sum(sizes.values())
        victims = []
        for connection, size_bytes in sizes.items():
            # A single large answer is within the limits.
            too_large = left_count > 1 and left_bytes > (
                count_limit * defaults.UNREAD_ANSWER_COST_BYTES
            )
            if left_count <= count_limit and not too_large:
                break
            victims.append(connection)
            left_count -= 1
            left_bytes -= size_bytes
            self.close(connection)
        return victims

    def stalled_bodies(self, now_ms: float) -> Iterator[C]:
        """Return the connections whose bodies are late, the latest of them first."""
        return self._older("body", now_ms - defaults.STALLED_BODY_MS)

    def _older(self, state: str, until_ms: float) -> Iterator[C]:
        for connection, since_ms in self._waiting[state].items():
            if since_ms > until_ms:
                return
            yield connection


@define
class RefusalLog:
    """Limits the log lines about each kind of refusal to one a second."""

    _next_ms: dict[str, float] = field(init=False, factory=dict)
    _counts: dict[str, int] = field(init=False, factory=dict)

    def add(self, kind: RefusalKind, now_ms: float) -> int:
        """Count a refusal; return how many refusals a line is due for, 0 for none."""
        count = self._counts.get(kind.name, 0) + 1
        if now_ms < self._next_ms.get(kind.name, now_ms):
            self._counts[kind.name] = count
            return 0
        self._next_ms[kind.name] = now_ms + 1_000
        self._counts[kind.name] = 0
        return count
