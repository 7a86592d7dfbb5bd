"""Accepting documents and orders, and reading the newest: by the leader alone."""

from dataclasses import dataclass

from grpclib.server import Stream

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.raft.replica import Replica
from hitchdeck_core import logs
from hitchdeck_core.wire.spread_grpc import DocumentsBase
from hitchdeck_core.wire.spread_pb2 import (
    Document,
    EvacuateReply,
    EvacuateRequest,
    EvacuationOrder,
    GroupEntry,
    NewestReply,
    NewestRequest,
    PublishReply,
    PublishRequest,
)
from hitchdeck_edge.errors import SupersededError, UnavailableError
from hitchdeck_edge.state.documents import Documents


@dataclass(slots=True)
class GroupMember:
    """The replica of this hub, if it has a disk, and what it needs to commit.

    ``voters_needed`` is the least number of voters under which nothing that
    was accepted is lost together with as many disks as may be lost at once.
    """

    replica: Replica | None
    voters_needed: int

    def require_leader(self) -> Replica:
        """Return the replica that leads, or raise ``NotLeaderError``."""
        if self.replica is None:
            raise NotLeaderError('')
        if not self.replica.is_leader():
            raise NotLeaderError(self.replica.leader_address())
        return self.replica


class DocumentsService(DocumentsBase):
    """Serves what hubs ask of the leader."""

    def __init__(self, member: GroupMember, documents: Documents) -> None:
        self.member = member
        self.documents = documents

    async def Publish(self, stream: Stream[PublishRequest, PublishReply]) -> None:
        """Commit a document."""
        request = await stream.recv_message()
        assert request is not None
        try:
            await self.commit(request.document)
        except NotLeaderError as error:
            reply = PublishReply(leader_address=error.leader_address)
            await stream.send_message(reply)
            return
        except (UnavailableError, OutcomeUnknownError) as error:
            logs.warning('document not committed', reason=str(error))
            await stream.send_message(PublishReply())
            return
        await stream.send_message(PublishReply(accepted=True))

    async def Evacuate(self, stream: Stream[EvacuateRequest, EvacuateReply]) -> None:
        """Commit an order on a failure domain."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await self._evacuate(request.order))

    async def Newest(self, stream: Stream[NewestRequest, NewestReply]) -> None:
        """Return the newest document, surely."""
        await stream.recv_message()
        try:
            document = self.newest()
        except NotLeaderError as error:
            reply = NewestReply(leader_address=error.leader_address)
            await stream.send_message(reply)
            return
        await stream.send_message(NewestReply(certain=True, document=document))

    async def commit(self, document: Document) -> None:
        """Commit a document as the leader.

        Raises
        ------
        NotLeaderError
            Nothing was done.
        UnavailableError
            Too few voters to keep it safe.
        OutcomeUnknownError
            It may or may not come into force.
        """
        await self._commit(GroupEntry(version=document.version, body=document.body))

    async def commit_order(self, order: EvacuationOrder) -> None:
        """Commit an order as the leader.

        Raises
        ------
        NotLeaderError
            Nothing was done.
        SupersededError
            A later order on the domain was committed; this one has no effect.
        UnavailableError
            Too few voters to keep it safe.
        OutcomeUnknownError
            It may or may not come into force.
        """
        if not await self._commit(GroupEntry(order=order)):
            raise SupersededError(f'a later order on {order.domain} is in force')

    def newest(self) -> Document:
        """Return the newest document, or raise ``NotLeaderError``."""
        replica = self.member.require_leader()
        replica.check_leads()
        return self.documents.message()

    async def _commit(self, entry: GroupEntry) -> bool:
        """Commit an entry, and tell whether what it asks for holds."""
        replica = self.member.require_leader()
        voters = len(replica.voters())
        if voters < self.member.voters_needed:
            raise UnavailableError(f'{voters} voters, fewer than are safe')
        return bool(await replica.propose(entry.SerializeToString()))

    async def _evacuate(self, order: EvacuationOrder) -> EvacuateReply:
        try:
            await self.commit_order(order)
        except NotLeaderError as error:
            return EvacuateReply(leader_address=error.leader_address)
        except SupersededError as error:
            logs.info('order superseded', domain=order.domain, reason=str(error))
            return EvacuateReply(superseded=True)
        except (UnavailableError, OutcomeUnknownError) as error:
            logs.warning('order not committed', domain=order.domain, reason=str(error))
            return EvacuateReply()
        return EvacuateReply(accepted=True)
