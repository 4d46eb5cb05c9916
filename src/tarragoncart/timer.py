"""Timers: clocks and periodic or delayed events as observables, with a manual one for tests."""

from __future__ import annotations

import asyncio
import datetime
import time
from typing import Protocol

import reactivex
from reactivex.scheduler import VirtualTimeScheduler
from reactivex.scheduler.eventloop import AsyncIOScheduler


class Timer(Protocol):
    """Source of time. All times are milliseconds on a monotonic clock, unless stated otherwise."""

    def now_ms(self) -> float:
        """Return the current time."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch, for stored times; this clock is not monotonic."""
        ...

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits at the end of each period."""
        ...

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once, after the delay."""
        ...


class LoopScheduler(AsyncIOScheduler):
    """Scheduler whose clock is that of its event loop.

    Its base class shortens each period by the time that its action took on the wall clock, which
    can be set, and which goes on while the loop's time is simulated.
    """

    @property
    def now(self) -> datetime.datetime:
        """The time of the loop."""
        return self.to_datetime(self._loop.time())


class LoopTimer:
    """Timer on the running event loop."""

    def __init__(self) -> None:
        self._scheduler = LoopScheduler(asyncio.get_running_loop())

    def now_ms(self) -> float:
        """Return the current time, which includes time while the VM is suspended, as leases do."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits at the end of each period."""
        return reactivex.interval(period_ms / 1_000, scheduler=self._scheduler)

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once, after the delay."""
        return reactivex.timer(delay_ms / 1_000, scheduler=self._scheduler)


class ManualTimer:
    """Timer whose time advances only when :meth:`advance` is called."""

    def __init__(self) -> None:
        self._scheduler = VirtualTimeScheduler(initial_clock=0)

    def now_ms(self) -> float:
        """Return the current time."""
        return self._scheduler.clock * 1_000

    def wall_ms(self) -> int:
        """Return the current time, as if the timer had started at the epoch."""
        return int(self.now_ms())

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits at the end of each period."""
        return reactivex.interval(period_ms / 1_000, scheduler=self._scheduler)

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once, after the delay."""
        return reactivex.timer(delay_ms / 1_000, scheduler=self._scheduler)

    def advance(self, duration_ms: float) -> None:
        """Advance the time and run the callbacks that become due."""
        self._scheduler.advance_by(datetime.timedelta(milliseconds=duration_ms).total_seconds())
