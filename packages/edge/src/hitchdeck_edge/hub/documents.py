"""gRPC service of the leader: commits documents and orders, reads the newest."""

from grpclib.server import Stream

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.raft.replica import Replica
from hitchdeck_core import logs
from hitchdeck_core.lazy_dataclasses import dataclass
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
    """A hub's membership in the replicated group.

    Attributes
    ----------
    replica
        Replica of this hub; ``None`` if it has no disk.
    voters_needed
        Minimum number of voters for a commit: with fewer, accepted entries could be
        lost along with the number of disks that may fail at once.
    """

    replica: Replica | None
    voters_needed: int

    def require_leader(self) -> Replica:
        """Return the replica of this hub if it leads, else raise ``NotLeaderError``."""
        if self.replica is None:
            raise NotLeaderError('')
        if not self.replica.is_leader():
            raise NotLeaderError(self.replica.leader_address())
        return self.replica


class DocumentsService(DocumentsBase):
    """Serves the requests that hubs send to the leader."""

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
        """Commit an evacuation order on a failure domain."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await self._evacuate(request.order))

    async def Newest(self, stream: Stream[NewestRequest, NewestReply]) -> None:
        """Send the newest committed document."""
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
            This hub does not lead; nothing was proposed.
        UnavailableError
            There are too few voters to store it safely.
        OutcomeUnknownError
            The document may or may not be committed.
        """
        await self._commit(GroupEntry(version=document.version, body=document.body))

    async def commit_order(self, order: EvacuationOrder) -> None:
        """Commit an evacuation order as the leader.

        Raises
        ------
        NotLeaderError
            This hub does not lead; nothing was proposed.
        SupersededError
            A later order on the domain was committed; this one has no effect.
        UnavailableError
            There are too few voters to store it safely.
        OutcomeUnknownError
            The order may or may not be committed.
        """
        if not await self._commit(GroupEntry(order=order)):
            raise SupersededError(f'a later order on {order.domain} is in force')

    def newest(self) -> Document:
        """Return the newest committed document, or raise ``NotLeaderError``."""
        replica = self.member.require_leader()
        replica.check_leads()
        return self.documents.message()

    async def _commit(self, entry: GroupEntry) -> bool:
        """Commit an entry; return whether the state that it requests is in force."""
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
