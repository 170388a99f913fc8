"""Timer service that other components subscribe to."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable

Callback = Callable[[], None | Awaitable[None]]
ErrorListener = Callable[[str, Exception], None]


class Subscription:
    """Subscription to the timer service; ``cancel`` ends it."""

    def __init__(self, service: TimerService, name: str):
        self.service = service
        self.name = name
        self.handle: asyncio.TimerHandle | None = None
        self.is_cancelled = False

    def cancel(self) -> None:
        """End the subscription. A callback that already runs is not interrupted."""
        self.is_cancelled = True
        if self.handle is not None:
            self.handle.cancel()
        self.service.subscriptions.discard(self)


class TimerService:
    """Run callbacks once or periodically on the event loop.

    Explanation
    ===========
    An exception from a callback is reported and does not end the subscription. A periodic coroutine
    callback is not started again before it has ended, so calls of a slow one can't pile up.

    Parameters
    ==========
    on_error : Callable[[str, Exception], None]
        Called with the name of a subscription whose callback raised, and the exception.
    """

    def __init__(self, on_error: ErrorListener):
        self.on_error = on_error
        self.subscriptions: set[Subscription] = set()
        self.tasks: set[asyncio.Task] = set()
        self.is_closed = False

    def now(self) -> float:
        """Return the time of the event loop's monotonic clock in seconds."""
        return asyncio.get_running_loop().time()

    def after(self, seconds: float, callback: Callback, name: str) -> Subscription:
        """Call the callback once after a number of seconds."""
        subscription = Subscription(self, name)
        if self.is_closed:
            subscription.is_cancelled = True
            return subscription
        self.subscriptions.add(subscription)

        def fire() -> None:
            self.subscriptions.discard(subscription)
            self._call(subscription, callback, None)

        subscription.handle = asyncio.get_running_loop().call_later(seconds, fire)
        return subscription

    def every(self, seconds: float, callback: Callback, name: str) -> Subscription:
        """Call the callback periodically, for the first time after one period."""
        subscription = Subscription(self, name)
        if self.is_closed:
            subscription.is_cancelled = True
            return subscription
        self.subscriptions.add(subscription)
        loop = asyncio.get_running_loop()

        def schedule() -> None:
            if not subscription.is_cancelled and not self.is_closed:
                subscription.handle = loop.call_later(seconds, fire)

        def fire() -> None:
            self._call(subscription, callback, schedule)

        schedule()
        return subscription

    def _call(
        self, subscription: Subscription, callback: Callback, on_done: Callable[[], None] | None
    ) -> None:
        if subscription.is_cancelled:
            return
        try:
            result = callback()
        except Exception as error:
            self.on_error(subscription.name, error)
            result = None
        if not inspect.isawaitable(result):
            if on_done is not None:
                on_done()
            return
        self.spawn(self._await_result(subscription.name, result, on_done))

    def spawn(self, work: Awaitable) -> asyncio.Task:
        """Run a coroutine as a task that `close` cancels if it still runs."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.on_error("spawned task", task.exception())

    async def _await_result(
        self, name: str, awaitable: Awaitable, on_done: Callable[[], None] | None
    ) -> None:
        try:
            await awaitable
        except Exception as error:
            self.on_error(name, error)
        if on_done is not None:
            on_done()

    async def close(self) -> None:
        """Cancel all subscriptions and running callbacks."""
        self.is_closed = True
        for subscription in list(self.subscriptions):
            subscription.cancel()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
