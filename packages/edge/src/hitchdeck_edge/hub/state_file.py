"""State that a hub writes to its disk to be able to serve right after a restart.

The log holds what was appended, but which entries are committed is known only once a
leader is elected, a second or more after all hubs have lost power.  A document in these
files was committed, so boxes may use it at once.  Upstreams report about once a second;
without a stored list, the fleet would send all requests to the first that reports.
"""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from google.protobuf.message import DecodeError

from hitchdeck_control.storage.files import replace_file
from hitchdeck_control.storage.records import Damage, frame, unframe
from hitchdeck_core import logs
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.quarantine_pb2 import QuarantineNews
from hitchdeck_core.wire.spread_pb2 import Document, EvacuationList, HubFrame
from hitchdeck_edge.links.hub_frames import SharedState
from hitchdeck_edge.links.records import decode_upstreams, encode_upstream
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.evacuations import Evacuations
from hitchdeck_edge.state.registry import Registry

WRITE_RETRY_SECONDS = 1.0
"""Delay after a failed write; the next write holds the then newest state."""

WRITE_INTERVAL_SECONDS = 0.2
"""Minimum interval between writes of a file: combines a burst of changes."""

ORIGIN = 'disk'
"""Origin that log lines give for restored state."""


@dataclass(frozen=True, slots=True)
class StateCodec:
    """Functions that read and write the state stored in a file.

    Attributes
    ----------
    version
        Returns a number that grows with each change of the state.
    encode
        Returns the state as bytes.
    restore
        Applies the state from bytes.
    """

    version: Callable[[], int]
    encode: Callable[[], bytes]
    restore: Callable[[bytes], None]


class StateFile:
    """A file that is replaced as a whole whenever its state has changed."""

    def __init__(self, path: Path, codec: StateCodec, changed: Signal) -> None:
        self.path = path
        self.codec = codec
        self.changed = changed
        self.written = 0

    def restore(self) -> None:
        """Apply the state in the file, unless it is missing or damaged."""
        try:
            content = self.path.read_bytes()
        except OSError as error:
            logs.info('nothing kept', file=self.path.name, reason=repr(error))
            return
        for payload in unframe(content):
            if isinstance(payload, Damage):
                logs.warning(
                    'state file damaged',
                    file=self.path.name,
                    offset=payload.offset,
                )
                return
            self._restore_payload(payload)
        self.written = self.codec.version()

    async def run(self) -> None:
        """Write the state whenever it has changed; runs forever."""
        while True:
            if self.written < self.codec.version():
                await self._write()
            await self.changed.wait(until_tick(WRITE_RETRY_SECONDS))

    def _restore_payload(self, payload: bytes) -> None:
        try:
            self.codec.restore(payload)
        except (DecodeError, ValueError) as error:
            # The checksum is right, but another version of the software wrote the file.
            logs.warning(
                'state file not decodable', file=self.path.name, reason=str(error)
            )

    async def _write(self) -> None:
        version = self.codec.version()
        content = frame(self.codec.encode())
        try:
            await finish_thread(asyncio.to_thread(replace_file, self.path, content))
        except OSError as error:
            logs.warning(
                'state file not written', file=self.path.name, reason=repr(error)
            )
            await asyncio.sleep(WRITE_RETRY_SECONDS)
            return
        self.written = version
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)


def document_file(folder: Path, documents: Documents) -> StateFile:
    """Return the file of the newest committed document."""

    def encode() -> bytes:
        return bytes(documents.message().SerializeToString())

    def restore(payload: bytes) -> None:
        document = Document.FromString(payload)
        version = DocumentVersion(int(document.version))
        documents.offer(version, document.body, ORIGIN)

    codec = StateCodec(lambda: documents.version, encode, restore)
    return StateFile(folder / 'document', codec, documents.changed)


def upstreams_file(folder: Path, registry: Registry) -> StateFile:
    """Return the file of all upstreams, including those that are gone.

    Restored upstreams count as just heard from; those that no longer report are
    marked as unresponsive soon afterwards.
    """

    def encode() -> bytes:
        left = registry.cold.seconds_left
        records = [
            encode_upstream(one, left(one.name)) for one in registry.records.values()
        ]
        return bytes(HubFrame(upstreams=records).SerializeToString())

    def restore(payload: bytes) -> None:
        for upstream in decode_upstreams(HubFrame.FromString(payload).upstreams):
            registry.merge(upstream, ORIGIN)

    codec = StateCodec(lambda: registry.changes, encode, restore)
    return StateFile(folder / 'upstreams', codec, registry.changed)


def evacuations_file(folder: Path, evacuations: Evacuations) -> StateFile:
    """Return the file of the newest committed evacuation orders."""

    def encode() -> bytes:
        return bytes(evacuations.message().SerializeToString())

    def restore(payload: bytes) -> None:
        evacuations.offer(EvacuationList.FromString(payload), ORIGIN)

    codec = StateCodec(lambda: evacuations.edition, encode, restore)
    return StateFile(folder / 'evacuations', codec, evacuations.changed)


def quarantine_file(folder: Path, quarantine: Quarantine) -> StateFile:
    """Return the file of the quarantine verdicts, and of the crashes behind them.

    Without it a quarantined request would crash three more upstreams after all hubs
    have lost power.
    """

    def encode() -> bytes:
        state = quarantine.state()
        return encode_update(state, quarantine.now()).SerializeToString()

    def restore(payload: bytes) -> None:
        message = QuarantineNews.FromString(payload)
        quarantine.merge(decode_update(message, quarantine.now()), ORIGIN)

    codec = StateCodec(lambda: quarantine.changes, encode, restore)
    return StateFile(folder / 'quarantine', codec, quarantine.changed)


def state_files(folder: Path, state: SharedState) -> list[StateFile]:
    """Return the files of the state that a hub replaces as a whole."""
    return [
        document_file(folder, state.documents),
        evacuations_file(folder, state.evacuations),
        upstreams_file(folder, state.registry),
        quarantine_file(folder, state.quarantine),
    ]


async def finish_thread(work: Coroutine[Any, Any, None]) -> None:
    """Wait for work in a thread, which cancellation can't stop, even if cancelled."""
    task = asyncio.create_task(work)
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        await task
        raise
