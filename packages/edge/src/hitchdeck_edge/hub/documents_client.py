"""Client for documents and orders: any hub forwards them to the leader."""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address
from hitchdeck_core.wire.spread_grpc import DocumentsStub
from hitchdeck_core.wire.spread_pb2 import (
    Document,
    EvacuateReply,
    EvacuateRequest,
    EvacuationOrder,
    NewestReply,
    NewestRequest,
    PublishReply,
    PublishRequest,
)
from hitchdeck_edge.errors import SupersededError, UnavailableError
from hitchdeck_edge.hub.documents import DocumentsService
from hitchdeck_edge.hub.state_machine import pack_document
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.model.document import DocumentVersion

CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of one call to the leader: an operator's client gives up after a second."""

TOTAL_TIMEOUT_SECONDS = 0.9
"""Timeout of a whole operation, with all attempts, for the same reason."""

RETRY_DELAY_SECONDS = 0.05
"""Delay between two attempts: an election takes some hundred milliseconds."""

Answer = TypeVar('Answer')

Request = PublishRequest | EvacuateRequest | NewestRequest
Reply = PublishReply | EvacuateReply | NewestReply


class DocumentsClient:
    """Runs operators' requests on this hub if it leads, else on the leader."""

    def __init__(
        self,
        service: DocumentsService,
        known_hubs: KnownHubs,
        token: str,
        now: Clock,
    ) -> None:
        self.service = service
        self.known_hubs = known_hubs
        self.token = token
        self.now = now
        self.leader = Address('')

    async def publish(self, version: DocumentVersion, text: bytes) -> None:
        """Commit a document; returns once it or a newer one is committed.

        Raises
        ------
        UnavailableError
            No commit was confirmed in time; the document may still be committed.
        """
        document = pack_document(version, text)
        await self._retry_until_answered(partial(self._publish_once, document))

    async def evacuate(self, order: EvacuationOrder) -> None:
        """Commit an evacuation order on a failure domain.

        Raises
        ------
        SupersededError
            A later order on the domain is in force; this one has no effect.
        UnavailableError
            No commit was confirmed in time; the order may still be committed.
        """
        await self._retry_until_answered(partial(self._evacuate_once, order))

    async def newest(self) -> tuple[DocumentVersion, bytes]:
        """Return the version and text of the newest committed document.

        Raises
        ------
        UnavailableError
            No leader answered in time.
        """
        document = await self._retry_until_answered(self._newest_once)
        version = DocumentVersion(int(document.version))
        body = document.body
        return version, zlib.decompress(body) if body else b''

    async def _retry_until_answered(
        self,
        ask_once: Callable[[float], Awaitable[Answer | None]],
    ) -> Answer:
        """Retry a call, which gets the deadline, until it returns an answer."""
        deadline = self.now() + TOTAL_TIMEOUT_SECONDS
        while self.now() < deadline:
            answer = await ask_once(deadline)
            if answer is not None:
                return answer
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise UnavailableError('no leader answered in time')

    async def _publish_once(self, document: Document, deadline: float) -> bool | None:
        """Return ``True`` if the document is committed, ``None`` if that is unknown."""
        if self.service.documents.version >= document.version:
            return True
        commit = partial(self.service.commit, document)
        request = PublishRequest(document=document)
        return await self._commit_once(commit, request, deadline)

    async def _evacuate_once(
        self, order: EvacuationOrder, deadline: float
    ) -> bool | None:
        commit = partial(self.service.commit_order, order)
        return await self._commit_once(commit, EvacuateRequest(order=order), deadline)

    async def _commit_once(
        self,
        commit: Callable[[], Awaitable[None]],
        request: PublishRequest | EvacuateRequest,
        deadline: float,
    ) -> bool | None:
        """Commit here or at the leader; return ``None`` if the outcome is unknown."""
        try:
            async with asyncio.timeout(deadline - self.now()):
                await commit()
        except NotLeaderError as error:
            self._note_leader(error.leader_address)
        except SupersededError:
            raise
        except (UnavailableError, OutcomeUnknownError, TimeoutError) as error:
            logs.warning('commit not confirmed', reason=repr(error))
            return None
        else:
            return True
        reply = await self._call(request, deadline)
        if isinstance(reply, EvacuateReply) and reply.superseded:
            raise SupersededError(f'a later order than {request} is in force')
        return True if getattr(reply, 'accepted', False) else None

    async def _newest_once(self, deadline: float) -> Document | None:
        try:
            return self.service.newest()
        except NotLeaderError as error:
            self._note_leader(error.leader_address)
        reply = await self._call(NewestRequest(), deadline)
        if isinstance(reply, NewestReply) and reply.certain:
            return reply.document
        return None

    def _note_leader(self, address: str) -> None:
        if address:
            self.leader = Address(address)

    def _choose_hub(self) -> Address | None:
        """Return the last known leader, else a random reachable hub."""
        if self.leader:
            return self.leader
        return (
            random.choice(sorted(self.known_hubs.reachable))
            if self.known_hubs.reachable
            else None
        )

    async def _call(
        self,
        request: Request,
        deadline: float,
    ) -> Reply | None:
        address = self._choose_hub()
        if address is None or self.now() >= deadline:
            return None
        channel = open_channel(address, self.token)
        try:
            async with asyncio.timeout(
                min(CALL_TIMEOUT_SECONDS, deadline - self.now())
            ):
                reply = await _ask(DocumentsStub(channel), request)
        except TRANSPORT_ERRORS as error:
            logs.info('call to leader failed', hub=address, reason=repr(error))
            self.leader = Address('')
            return None
        finally:
            channel.close()
        self._learn_leader(address, reply)
        return reply

    def _learn_leader(
        self,
        address: Address,
        reply: Reply,
    ) -> None:
        served = getattr(reply, 'accepted', False) or getattr(reply, 'certain', False)
        self.leader = address if served else Address(reply.leader_address)


async def _ask(stub: DocumentsStub, request: Request) -> Reply:
    if isinstance(request, PublishRequest):
        return await stub.Publish(request)
    if isinstance(request, EvacuateRequest):
        return await stub.Evacuate(request)
    return await stub.Newest(request)
