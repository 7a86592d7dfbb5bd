"""Answers that a hub sends to a box after requests have waited at its scheduler.

Load: a box that is stalled, or reads no answers, while its requests wait.  What is
held for it is bounded in time and number, and no task stays behind.
"""

import asyncio
from collections.abc import Awaitable, Callable

from hitchdeck_core import logs
from hitchdeck_core.wire.spread_pb2 import Placed
from hitchdeck_edge.links.hub_streams import LINK_ERRORS
from hitchdeck_edge.scheduling.waiting import MAX_WAITING

MAX_SEND_SECONDS = 0.5
"""Time for which answers are held for a box that does not read.

A box stops waiting for an answer 60 ms after the longest wait of its request, and sends
its own frames within the same time.
"""

MAX_UNSENT = MAX_WAITING
"""Maximum number of answers that are held for a box: as many as can wait for one."""


class LateAnswers:
    """Sends answers to one box, all that are due at once and in their order.

    Attributes
    ----------
    send
        Sends answers in one frame.
    on_stalled
        Called if the box did not read for ``MAX_SEND_SECONDS``.  A frame may then be
        incomplete, so its stream must end.
    unsent
        Answers that are not sent yet.
    """

    def __init__(
        self,
        box: str,
        send: Callable[[list[Placed]], Awaitable[None]],
        on_stalled: Callable[[], None],
    ) -> None:
        self.box = box
        self.send = send
        self.on_stalled = on_stalled
        self.unsent: list[Placed] = []
        self.task: asyncio.Task[None] | None = None

    def add(self, answers: list[Placed]) -> list[Placed]:
        """Send answers soon; return those that are dropped as too many."""
        room = MAX_UNSENT - len(self.unsent)
        self.unsent.extend(answers[:room])
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())
        dropped = answers[room:]
        if dropped:
            logs.warning('answers dropped', attendee=self.box, count=len(dropped))
        return dropped

    def close(self) -> None:
        """Drop what is not sent, and end the task."""
        self.unsent.clear()
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        try:
            while self.unsent:
                frame = list(self.unsent)
                async with asyncio.timeout(MAX_SEND_SECONDS):
                    await self.send(frame)
                self.unsent = self.unsent[len(frame) :]
        except TimeoutError:
            logs.warning('box reads no answers', attendee=self.box)
            self.unsent.clear()
            self.on_stalled()
        except LINK_ERRORS as error:
            # Its stream ends, and the box decides on these requests by itself.
            self.unsent.clear()
            logs.info('answers not sent', attendee=self.box, reason=repr(error))
