"""``hitchdeck control ...``: initializes and repairs the control group."""

import asyncio

from hitchdeck_cli.connection import Connection
from hitchdeck_cli.errors import CommandError, ExitCode
from hitchdeck_cli.printing import print_line, print_rows
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.ids import Address
from hitchdeck_core.wire.hitchdeck_grpc import ControlStub, ReplicationStub
from hitchdeck_core.wire.hitchdeck_pb2 import (
    FoundReply,
    FoundRequest,
    IdentifyReply,
    IdentifyRequest,
    Member,
    ReplaceReply,
    ReplaceRequest,
)

_CALL_SECONDS = 5.0
_REPLACE_SECONDS = 150.0


class GroupCommands:
    """Commands on the control group: init, members, replace."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def init(self) -> None:
        """Initialize a new group from the boxes given by --control.

        Every box must be reachable, and its data folder must not belong to
        another group.  Idempotent: retry until it succeeds.
        """
        asyncio.run(self._init())

    def members(self, *, json: bool = False) -> None:
        """Show the state that each box given by --control reports."""
        replies = asyncio.run(self._identify_all())
        rows = [
            {
                'box': reply.box,
                'replica': reply.replica,
                'address': reply.address,
                'founded': reply.founded,
                'leader': reply.leader or '-',
                'term': reply.term,
                'last': reply.last_index,
                'commit': reply.commit,
            }
            for reply in replies
        ]
        print_rows(rows, as_json=json)

    def replace(self, address: str) -> None:
        """Replace the replica of a box that lost its disk.

        Returns once the box has caught up with the log and is a voter; only
        then does the group tolerate the loss of another box.
        """
        asyncio.run(self._replace(Address(address)))

    async def _init(self) -> None:
        replies = await self._identify_all()
        members = [
            Member(
                replica=reply.replica,
                box=reply.box,
                address=reply.address,
                voter=True,
            )
            for reply in replies
        ]
        boxes = {member.box for member in members}
        if len(boxes) < len(members):
            raise CommandError(ExitCode.bad_input, 'a box is listed more than once')
        for member in members:
            reply = await self._found(Address(member.address), members)
            if reply.error:
                raise CommandError(ExitCode.refused, reply.error)
        print_line(f'founded: {", ".join(sorted(boxes))}')

    async def _identify_all(self) -> list[IdentifyReply]:
        return [await self._identify(one) for one in self._connection.addresses]

    async def _identify(self, address: Address) -> IdentifyReply:
        channel = open_channel(address, self._connection.token)
        try:
            return await ReplicationStub(channel).Identify(
                IdentifyRequest(),
                timeout=_CALL_SECONDS,
            )
        except TRANSPORT_ERRORS as error:
            raise CommandError(ExitCode.failed, f'{address}: {error}') from error
        finally:
            channel.close()

    async def _found(self, address: Address, members: list[Member]) -> FoundReply:
        channel = open_channel(address, self._connection.token)
        try:
            return await ReplicationStub(channel).Found(
                FoundRequest(members=members),
                timeout=_CALL_SECONDS,
            )
        except TRANSPORT_ERRORS as error:
            raise CommandError(ExitCode.failed, f'{address}: {error}') from error
        finally:
            channel.close()

    async def _replace(self, address: Address) -> None:
        identity = await self._identify(address)
        newcomer = Member(
            replica=identity.replica,
            box=identity.box,
            address=identity.address,
        )
        for address_asked in self._connection.addresses:
            reply = await self._ask_to_replace(address_asked, newcomer)
            if reply is None or not reply.leads:
                continue
            if reply.error:
                raise CommandError(ExitCode.refused, reply.error)
            print_line(f'{identity.box}: {identity.replica} votes')
            return
        raise CommandError(ExitCode.failed, 'none of the given boxes is the leader')

    async def _ask_to_replace(
        self,
        address: Address,
        newcomer: Member,
    ) -> ReplaceReply | None:
        channel = open_channel(address, self._connection.token)
        try:
            return await ControlStub(channel).Replace(
                ReplaceRequest(newcomer=newcomer),
                timeout=_REPLACE_SECONDS,
            )
        except TRANSPORT_ERRORS:
            return None
        finally:
            channel.close()
