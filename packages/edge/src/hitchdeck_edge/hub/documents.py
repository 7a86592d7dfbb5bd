"""Accepting documents, and reading the newest one: by the leader alone."""

from dataclasses import dataclass

from grpclib.server import Stream

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.raft.replica import Replica
from hitchdeck_core import logs
from hitchdeck_core.wire.spread_grpc import DocumentsBase
from hitchdeck_core.wire.spread_pb2 import (
    Document,
    NewestReply,
    NewestRequest,
    PublishReply,
    PublishRequest,
)
from hitchdeck_edge.errors import UnavailableError
from hitchdeck_edge.state.documents import Documents


@dataclass(slots=True)
class Seat:
    """The replica of this hub, if it has a disk, and what it needs to commit.

    ``voters_needed`` is the least number of voters under which nothing that
    was accepted is lost together with as many disks as may be lost at once.
    """

    replica: Replica | None
    voters_needed: int

    def check_may_commit(self) -> Replica:
        """Return the replica that leads, or raise ``NotLeaderError``."""
        if self.replica is None:
            raise NotLeaderError('')
        if not self.replica.is_leader():
            raise NotLeaderError(self.replica.leader_address())
        return self.replica


class DocumentsService(DocumentsBase):
    """Serves what hubs ask of the leader."""

    def __init__(self, seat: Seat, documents: Documents) -> None:
        self.seat = seat
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
        replica = self.seat.check_may_commit()
        voters = len(replica.voters())
        if voters < self.seat.voters_needed:
            raise UnavailableError(f'{voters} voters, fewer than are safe')
        await replica.propose(document.SerializeToString())

    def newest(self) -> Document:
        """Return the newest document, or raise ``NotLeaderError``."""
        replica = self.seat.check_may_commit()
        replica.check_leads()
        return self.documents.message()
