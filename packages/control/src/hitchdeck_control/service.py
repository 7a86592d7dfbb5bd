"""The ``Control`` service: commands and queries of operators, routers' streams."""

from grpclib.const import Status as GrpcStatus
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from pydantic import ValidationError

from hitchdeck_control import answers
from hitchdeck_control.errors import (
    MembershipError,
    NotLeaderError,
    OutcomeUnknownError,
)
from hitchdeck_control.fleet.leader import Leader
from hitchdeck_control.fleet.watch import serve_router
from hitchdeck_control.raft.membership import replace_replica
from hitchdeck_core.commands import Command, Put, command_codec, outcome_codec
from hitchdeck_core.errors import ResourceError
from hitchdeck_core.outcomes import Outcome, Refused
from hitchdeck_core.queries import query_codec
from hitchdeck_core.resources import Rule, explain
from hitchdeck_core.wire.hitchdeck_grpc import ControlBase
from hitchdeck_core.wire.hitchdeck_pb2 import (
    ControlFrame,
    ExecuteReply,
    ExecuteRequest,
    ReadReply,
    ReadRequest,
    ReplaceReply,
    ReplaceRequest,
    RouterBeat,
)


class ControlService(ControlBase):
    """Implements the ``Control`` service of a replica."""

    def __init__(self, leader: Leader) -> None:
        self.leader = leader

    async def Execute(self, stream: Stream[ExecuteRequest, ExecuteReply]) -> None:
        """Commit a command."""
        request = await stream.recv_message()
        assert request is not None
        try:
            outcome = await self._execute(request)
        except NotLeaderError as error:
            reply = ExecuteReply(leader_address=error.leader_address)
            await stream.send_message(reply)
            return
        except OutcomeUnknownError as error:
            raise GRPCError(GrpcStatus.UNAVAILABLE, str(error)) from error
        encoded = outcome_codec.dump_json(outcome)
        await stream.send_message(ExecuteReply(outcome=encoded))

    async def Read(self, stream: Stream[ReadRequest, ReadReply]) -> None:
        """Answer a query, linearizably: leadership is checked before and after."""
        request = await stream.recv_message()
        assert request is not None
        try:
            query = query_codec.validate_json(request.query)
        except ValidationError as error:
            raise GRPCError(GrpcStatus.INVALID_ARGUMENT, explain(error)) from error
        try:
            self.leader.check_leads()
            answer = await answers.answer(self.leader, query)
            self.leader.check_leads()
        except NotLeaderError as error:
            await stream.send_message(ReadReply(leader_address=error.leader_address))
            return
        await stream.send_message(ReadReply(answer=answer.model_dump_json().encode()))

    async def Watch(self, stream: Stream[RouterBeat, ControlFrame]) -> None:
        """Serve a router's stream."""
        await serve_router(self.leader, stream)

    async def Replace(self, stream: Stream[ReplaceRequest, ReplaceReply]) -> None:
        """Replace the replica of a box by one with a new disk."""
        request = await stream.recv_message()
        assert request is not None
        try:
            self.leader.check_leads()
            await replace_replica(self.leader.replica, request.newcomer)
        except NotLeaderError:
            await stream.send_message(ReplaceReply(leads=False))
        except (MembershipError, OutcomeUnknownError) as error:
            await stream.send_message(ReplaceReply(leads=True, error=str(error)))
        else:
            await stream.send_message(ReplaceReply(leads=True))

    async def _execute(self, request: ExecuteRequest) -> Outcome:
        try:
            command = command_codec.validate_json(request.command)
            check_command(command)
        except ValidationError as error:
            return Refused(code='invalid', reason=explain(error))
        except ResourceError as error:
            return Refused(code='invalid', reason=str(error))
        return await self.leader.execute(
            command,
            request.operator,
            int(request.number),
        )


def check_command(command: Command) -> None:
    """Raise ``ResourceError`` if a command must not be appended to the log."""
    writes = getattr(command, 'changes', (command,))
    for write in writes:
        if isinstance(write, Put) and isinstance(write.resource, Rule):
            write.resource.check_complete()
