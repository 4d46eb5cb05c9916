"""Actors: tasks that own their state and sockets and communicate by messages."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any, ClassVar

import reactivex

from . import defaults
from .charts import Chart
from .errors import InboxFullError

logger = logging.getLogger(__name__)

Handler = Callable[..., Any]


def receives(message_type: type) -> Callable[[Handler], Handler]:
    """Mark a function or coroutine function as the handler of a message type."""

    def decorate(handler: Handler) -> Handler:
        handler.message_type = message_type  # type: ignore[attr-defined]
        return handler

    return decorate


def implements_action(action: str) -> Callable[[Handler], Handler]:
    """Mark a method as the implementation of an action of a state chart."""

    def decorate(method: Handler) -> Handler:
        method.actions = (*getattr(method, "actions", ()), action)  # type: ignore[attr-defined]
        return method

    return decorate


class Actor:
    """A task with a bounded inbox.

    Handlers run one at a time. The event loop runs after every ``INBOX_SLICE_COUNT`` messages, also
    while the inbox is not empty, so that a backlog does not delay other actors. Work that waits for
    a socket is passed to :meth:`spawn` and sends its result back as a message.

    :param name: name of the task, used in errors and log lines.
    :param inbox_limit_count: maximum number of messages waiting in the inbox.
    """

    _handlers: ClassVar[dict[type, Handler]] = {}
    _actions: ClassVar[dict[str, Handler]] = {}

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        cls._handlers = dict(cls._handlers)
        cls._actions = dict(cls._actions)
        for value in vars(cls).values():
            if hasattr(value, "message_type"):
                cls._handlers[value.message_type] = value
            for action in getattr(value, "actions", ()):
                cls._actions[action] = value

    @classmethod
    def implements_actions(cls, actions: frozenset[str]) -> bool:
        """Return whether there is a method for each of a chart's actions."""
        return actions <= cls._actions.keys()

    def __init__(self, name: str, inbox_limit_count: int = defaults.INBOX_LIMIT_COUNT) -> None:
        self.name = name
        # asyncio.Queue costs three times as much per message as a deque with one waiter, and a
        # request passes through three inboxes.
        self._inbox: deque[Any] = deque()
        self._inbox_limit_count = inbox_limit_count
        self._waiter: asyncio.Future[None] | None = None
        self._child_tasks: set[asyncio.Task[Any]] = set()
        self._subscriptions: list[Any] = []
        self._runner: asyncio.Task[None] | None = None

    def tell(self, message: Any) -> None:
        """Put a message into the inbox.

        :raises InboxFullError: if the inbox has reached its limit.
        """
        if len(self._inbox) >= self._inbox_limit_count:
            raise InboxFullError("inbox is full", step="tell", peer=self.name)
        self._put(message)

    def tell_self(self, message: Any) -> None:
        """Put a message to this actor itself into the inbox.

        The limit does not apply, because the message would not be sent again: it tells of the end
        of work that the actor waits for, or continues such work.
        """
        self._put(message)

    def _put(self, message: Any) -> None:
        self._inbox.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def subscribe(self, observable: reactivex.Observable[Any], message: Any) -> None:
        """Send ``message`` to this actor whenever the observable emits."""

        def forward(_: Any) -> None:
            # If the inbox is full the message is dropped; the next one does the same work.
            if len(self._inbox) < self._inbox_limit_count:
                self._put(message)

        self._subscriptions.append(observable.subscribe(forward))

    def subscribe_once(self, observable: reactivex.Observable[Any], message: Any) -> None:
        """Send ``message`` to this actor when an observable that emits once does so.

        The limit of the inbox does not apply, because the message would not be sent again.
        """
        observable.subscribe(lambda _: self._put(message))

    def step(self, chart: Chart, subject: Any, event: str, **details: Any) -> None:
        """Apply an event to ``subject.state`` and carry out the actions of the transition.

        :param subject: object with a ``state``; passed to the actions, with ``details``.
        :raises ChartError: if the state does not accept the event.
        """
        transition = chart.step(subject.state, event)
        subject.state = transition.state
        for action in transition.actions:
            self._actions[action](self, subject, **details)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a child task, which is cancelled when the actor stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._child_tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_loop(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task[Any]:
        """Run a coroutine function as a child task, and again after each unexpected error.

        For loops that an actor cannot work without.
        """
        return self.spawn(self._run_loop(loop))

    async def _run_loop(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                return await loop()
            except Exception:
                logger.exception(
                    "loop failed; starting it again",
                    extra={"actor": self.name, "loop": getattr(loop, "__name__", "")},
                )
                await asyncio.sleep(defaults.LOOP_RESTART_MS / 1_000)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._child_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            logger.error("task failed", extra={"actor": self.name}, exc_info=error)

    def start(self) -> None:
        """Start the actor's task."""
        self._runner = asyncio.get_running_loop().create_task(self._run(), name=self.name)
        # Logs the error of an actor that fails, such as when its sockets cannot be opened.
        self._runner.add_done_callback(self._on_task_done)

    async def _run(self) -> None:
        await self.on_open()
        handled_count = 0
        while True:
            if not self._inbox:
                self._waiter = asyncio.get_running_loop().create_future()
                await self._waiter
                handled_count = 0
            elif handled_count >= defaults.INBOX_SLICE_COUNT:
                await asyncio.sleep(0)
                handled_count = 0
            handled_count += 1
            message, result = self._inbox.popleft(), None
            try:
                result = self.handle(message)
                if result is not None:
                    await result
            except Exception as error:
                # An error in one handler must not stop the actor and the jobs that it owns.
                logger.exception(
                    "message handler failed",
                    extra={"actor": self.name, "message_type": type(message).__name__},
                )
                reply = getattr(message, "reply", None)
                if isinstance(reply, asyncio.Future) and not reply.done():
                    reply.set_exception(error)
                del reply
            # An idle actor does not keep the last job that it was sent.
            del message, result

    def _put_back(self, messages: Sequence[Any]) -> None:
        """Put messages before all others in the inbox, whose limit does not apply."""
        self._inbox.extendleft(reversed(messages))

    def drain_inbox(self) -> Iterator[Any]:
        """Remove and yield the waiting messages, for tests that run the handlers themselves."""
        while self._inbox:
            yield self._inbox.popleft()

    @classmethod
    def can_receive(cls, message_type: type) -> bool:
        """Return whether there is a handler for a message type."""
        return message_type in cls._handlers

    def handle(self, message: Any) -> Any:
        """Call the handler of a message; the result is awaitable if it is a coroutine function."""
        return self._handlers[type(message)](self, message)

    async def on_open(self) -> None:
        """Open sockets; called before the first message is handled."""

    async def on_close(self) -> None:
        """Close sockets; called after the last message was handled."""

    async def stop(self) -> None:
        """Cancel the actor's subscriptions and tasks, then close its sockets."""
        for subscription in self._subscriptions:
            subscription.dispose()
        tasks = [*self._child_tasks, *([self._runner] if self._runner else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.on_close()


def new_reply() -> asyncio.Future[Any]:
    """Return a future for the reply to a message."""
    return asyncio.get_running_loop().create_future()


def resolve(reply: asyncio.Future[Any] | None, value: Any) -> None:
    """Set the reply to a message; does nothing if the sender no longer waits for it."""
    if reply is not None and not reply.done():
        reply.set_result(value)
