"""A supervisor tree: tasks that are restarted, and stopped as one.

A supervisor owns named children.  A permanent child that fails is started
again after a growing pause; a temporary one (a connection) just ends.
Errors named as fatal are not mended by a restart (a disk that failed): they
end the process, through ``wait_for_failure``.
Stopping a supervisor cancels its children in reverse order of their start,
and waits for each.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from hitchdeck_core import logs

_INITIAL_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 2.0

TaskFunction = Callable[[], Awaitable[None]]


class Supervisor:
    """Owner of a group of tasks."""

    def __init__(
        self,
        name: str,
        fatal: tuple[type[Exception], ...] = (),
    ) -> None:
        self.name = name
        self.fatal = fatal
        self.failed: asyncio.Future[None] | None = None
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.counter = 0
        self.stopping = False

    def permanent(self, name: str, work: TaskFunction) -> None:
        """Run work for ever, again after each failure."""
        self._start(name, self._keep_running(name, work))

    def temporary(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine once; a failure is logged and goes no further."""
        self.counter += 1
        self._start(f'{name}-{self.counter}', self._run_once(name, coroutine))

    def cancel(self, name: str) -> None:
        """Stop one permanent child."""
        task = self.tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Cancel every child, the newest first, and wait for each."""
        self.stopping = True
        for task in reversed(list(self.tasks.values())):
            task.cancel()
            await asyncio.wait([task])

    async def wait_for_failure(self) -> None:
        """Wait until a child fails for good, and raise what it raised."""
        if self.failed is None:
            self.failed = asyncio.get_running_loop().create_future()
        await self.failed

    def _start(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine, name=f'{self.name}.{name}')
        self.tasks[name] = task
        task.add_done_callback(lambda done: self._discard(name, done))

    def _fail(self, error: Exception) -> None:
        if self.failed is None:
            self.failed = asyncio.get_running_loop().create_future()
        if not self.failed.done():
            self.failed.set_exception(error)

    def _discard(self, name: str, done: asyncio.Task[None]) -> None:
        if self.tasks.get(name) is done:
            self.tasks.pop(name)

    async def _run_once(
        self,
        name: str,
        coroutine: Coroutine[Any, Any, None],
    ) -> None:
        try:
            await coroutine
        except Exception as error:
            logs.failure('task failed', error, task=f'{self.name}.{name}')

    async def _keep_running(self, name: str, work: TaskFunction) -> None:
        backoff = _INITIAL_BACKOFF_SECONDS
        while not self.stopping:
            try:
                await work()
            except self.fatal as error:
                self._fail(error)
                return
            except Exception as error:
                logs.failure('task restarts', error, task=f'{self.name}.{name}')
                backoff = min(_MAX_BACKOFF_SECONDS, 2 * backoff)
            else:
                backoff = _INITIAL_BACKOFF_SECONDS
            await asyncio.sleep(backoff)
