"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar('Result')


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock that starts at 0 s."""

    def __init__(self) -> None:
        self.seconds = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.seconds


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Selector that advances the clock of its loop by the time it would wait."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError('no timer is due, so the loop would wait for ever')
        self.loop.seconds += max(0, timeout)
        return super().select(0)


def run_virtually(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in a new loop with a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
