"""The newest committed document on a hub's disk, for the moment of a restart.

The log says what was appended; what of it is committed is known only once a
leader is elected, a second or more after all hubs have lost power.  A document
kept here was committed, so boxes may serve under it at once.
"""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from hitchdeck_control.storage.files import replace_file
from hitchdeck_control.storage.records import Damage, frame, unframe
from hitchdeck_core import logs
from hitchdeck_core.wire.spread_pb2 import Document
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.state.documents import Documents

FILE = 'document'

RETRY_SECONDS = 1.0
"""Pause after the disk refused; the next document is newer anyway."""


class DocumentFile:
    """Keeps the newest document in a file, apart from the log's writer."""

    def __init__(self, folder: Path, documents: Documents) -> None:
        self.path = folder / FILE
        self.documents = documents
        self.kept = DocumentVersion(0)

    def recall(self) -> None:
        """Put the document of the file in force, if it is whole."""
        try:
            content = self.path.read_bytes()
        except OSError as error:
            logs.info('no document kept', reason=repr(error))
            return
        for payload in unframe(content):
            if isinstance(payload, Damage):
                logs.warning('kept document damaged', offset=payload.offset)
                return
            document = Document.FromString(payload)
            self.kept = DocumentVersion(int(document.version))
            self.documents.offer(self.kept, document.body, 'disk')

    async def run(self) -> None:
        """Write each newer document; for ever."""
        while True:
            if self.kept < self.documents.version:
                await self._write()
            await self.documents.changed.wait(RETRY_SECONDS)

    async def _write(self) -> None:
        version = self.documents.version
        content = frame(self.documents.message().SerializeToString())
        try:
            await _finished(asyncio.to_thread(replace_file, self.path, content))
        except OSError as error:
            logs.warning('document not kept', version=version, reason=repr(error))
            await asyncio.sleep(RETRY_SECONDS)
            return
        self.kept = version


async def _finished(work: Coroutine[Any, Any, None]) -> None:
    """Wait for a thread's work, also when cancelled: it goes on all the same."""
    task = asyncio.create_task(work)
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        await task
        raise
