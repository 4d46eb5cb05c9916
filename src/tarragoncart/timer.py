"""Timer service: parts subscribe to its observables. Tests drive it by hand."""

from __future__ import annotations

import asyncio
import datetime
import time
from typing import Protocol

import reactivex
from reactivex.scheduler import VirtualTimeScheduler
from reactivex.scheduler.eventloop import AsyncIOScheduler


class Timer(Protocol):
    """Source of time. All times are milliseconds on a monotonic clock."""

    def now_ms(self) -> float:
        """Return the current time."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch, for the audit trail only."""
        ...

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once a period."""
        ...

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once."""
        ...


class LoopTimer:
    """Timer on the running event loop."""

    def __init__(self) -> None:
        self._scheduler = AsyncIOScheduler(asyncio.get_running_loop())

    def now_ms(self) -> float:
        """Return the current time; it goes on while the VM is suspended, as leases do."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once a period."""
        return reactivex.interval(period_ms / 1_000, scheduler=self._scheduler)

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once."""
        return reactivex.timer(delay_ms / 1_000, scheduler=self._scheduler)


class ManualTimer:
    """Timer that moves only when :meth:`advance` is called."""

    def __init__(self) -> None:
        self._scheduler = VirtualTimeScheduler(initial_clock=0)

    def now_ms(self) -> float:
        """Return the current time."""
        return self._scheduler.clock * 1_000

    def wall_ms(self) -> int:
        """Return the current time as if the epoch were the start."""
        return int(self.now_ms())

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once a period."""
        return reactivex.interval(period_ms / 1_000, scheduler=self._scheduler)

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once."""
        return reactivex.timer(delay_ms / 1_000, scheduler=self._scheduler)

    def advance(self, duration_ms: float) -> None:
        """Move time on and run what becomes due."""
        self._scheduler.advance_by(datetime.timedelta(milliseconds=duration_ms).total_seconds())
