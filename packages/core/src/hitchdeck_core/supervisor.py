"""Supervision of tasks: restart after failures, and joint shutdown.

A supervisor owns named child tasks.  A permanent child that fails is restarted
with exponential backoff; a temporary one, such as a connection, is not.  Errors
declared as fatal can't be resolved by a restart (for example a failed disk): they
are raised by ``wait_for_failure`` and end the process.  Stopping a supervisor
cancels its children in reverse order of their start and waits for each.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from hitchdeck_core import logs

_INITIAL_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 2.0

TaskFunction = Callable[[], Awaitable[None]]


class Supervisor:
    """Owner of a group of child tasks."""

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
        """Run work in a loop until stopped, with backoff after failures."""
        self._start(name, self._keep_running(name, work))

    def temporary(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine once; a failure is logged and not propagated."""
        self.counter += 1
        self._start(f'{name}-{self.counter}', self._run_once(name, coroutine))

    def cancel(self, name: str) -> None:
        """Stop one permanent child."""
        task = self.tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Cancel all children, the newest first, and wait for each."""
        self.stopping = True
        for task in reversed(list(self.tasks.values())):
            task.cancel()
            await asyncio.wait([task])

    async def wait_for_failure(self) -> None:
        """Wait until a child raises a fatal error, and raise it."""
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
                logs.failure('restarting task', error, task=f'{self.name}.{name}')
                backoff = min(_MAX_BACKOFF_SECONDS, 2 * backoff)
            else:
                backoff = _INITIAL_BACKOFF_SECONDS
            await asyncio.sleep(backoff)
