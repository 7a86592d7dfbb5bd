"""Journal of the upstreams that are leaving or gone, on a hub's disk.

An upstream waits for the write of its departure, so that it takes one append and one
sync.  The journal is rewritten at each start, after a failed write, and when it has
grown.
"""

import asyncio
import os
from io import FileIO
from pathlib import Path

from hitchdeck_control.storage.files import replace_file
from hitchdeck_control.storage.records import Damage, frame, unframe
from hitchdeck_core import logs
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.spread_pb2 import HubFrame
from hitchdeck_edge.hub.state_file import WRITE_RETRY_SECONDS, finish_thread
from hitchdeck_edge.links.records import decode_upstreams, encode_upstream
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry

MAX_JOURNAL_BYTES = 256_000
"""Size from which the journal is rewritten without the upstreams since forgotten."""

SLOW_WRITE_SECONDS = 0.2
"""Duration of a write that is logged."""

ORIGIN = 'disk'
"""Origin that log lines give for restored records."""


class DepartureJournal:
    """Journal of the departures that a registry knows.

    Attributes
    ----------
    written
        Number of departures in the registry as of the last write.
    written_change
        Number of the registry's last change as of then.
    stream
        Open file; ``None`` if the next write replaces it.
    """

    def __init__(self, path: Path, registry: Registry) -> None:
        self.path = path
        self.registry = registry
        self.written = 0
        self.written_change = 0
        self.size = 0
        self.stream: FileIO | None = None
        self.write_lock = asyncio.Lock()

    def restore(self) -> None:
        """Merge the departures in the file into the registry."""
        try:
            content = self.path.read_bytes()
        except OSError as error:
            logs.info('nothing kept', file=self.path.name, reason=repr(error))
            return
        for payload in unframe(content):
            if isinstance(payload, Damage):
                logs.warning(
                    'state file damaged', file=self.path.name, offset=payload.offset
                )
                return
            for upstream in decode_upstreams(HubFrame.FromString(payload).upstreams):
                self.registry.merge(upstream, ORIGIN)

    async def run(self) -> None:
        """Write departures that other hubs told of; runs forever."""
        while True:
            if self.written < self.registry.departures:
                await self.store()
            await self.registry.changed.wait(until_tick(WRITE_RETRY_SECONDS))

    async def store(self) -> bool:
        """Write all departures that are not in the file; tell whether they are now."""
        async with self.write_lock:
            if self.written >= self.registry.departures:
                return True
            began = boot_seconds()
            try:
                await self._write()
            except OSError as error:
                self.close()
                logs.warning(
                    'state file not written', file=self.path.name, reason=repr(error)
                )
                return False
        seconds = boot_seconds() - began
        if seconds > SLOW_WRITE_SECONDS:
            logs.warning('journal written slowly', seconds=round(seconds, 3))
        return True

    def close(self) -> None:
        """Close the file."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    async def _write(self) -> None:
        registry = self.registry
        departures, change = registry.departures, registry.changes
        if self.stream is None or self.size > MAX_JOURNAL_BYTES:
            content = _encode(registry.departed())
            await finish_thread(asyncio.to_thread(self._replace, content))
        else:
            fresh = registry.since(self.written_change)
            content = _encode([one for one in fresh if one.phase is not Phase.serving])
            await finish_thread(asyncio.to_thread(self._append, content))
        self.written, self.written_change = departures, change

    def _append(self, content: bytes) -> None:
        assert self.stream is not None
        left = memoryview(content)
        while left:
            left = left[self.stream.write(left) :]
        os.fdatasync(self.stream.fileno())
        self.size += len(content)

    def _replace(self, content: bytes) -> None:
        self.close()
        replace_file(self.path, content)
        self.stream = self.path.open('ab', buffering=0)
        self.size = len(content)


def _encode(records: list[Upstream]) -> bytes:
    if not records:
        return b''
    message = HubFrame(upstreams=[encode_upstream(one) for one in records])
    return frame(message.SerializeToString())
