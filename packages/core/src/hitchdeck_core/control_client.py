"""Client that sends commands and queries to the control group's leader."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from pydantic import BaseModel

from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.commands import Command, command_codec, outcome_codec
from hitchdeck_core.errors import AuthenticationError, HitchdeckError, LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.outcomes import Outcome
from hitchdeck_core.queries import Query, query_codec
from hitchdeck_core.wire.hitchdeck_grpc import ControlStub
from hitchdeck_core.wire.hitchdeck_pb2 import (
    ExecuteReply,
    ExecuteRequest,
    ReadReply,
    ReadRequest,
)

_CALL_TIMEOUT_SECONDS = 5.0
_INITIAL_BACKOFF_SECONDS = 0.02
_MAX_BACKOFF_SECONDS = 0.5

Answer = TypeVar('Answer', bound=BaseModel)
Reply = TypeVar('Reply', ExecuteReply, ReadReply)


class RejectedError(HitchdeckError):
    """Raised when the leader rejects a query as malformed."""


class ControlClient:
    """Client that finds the leader and reconnects when it changes."""

    def __init__(self, addresses: tuple[Address, ...], token: str) -> None:
        self.addresses = addresses
        self.token = token
        self.address_index = 0
        self.leader = Address('')
        self.channels: dict[Address, Channel] = {}

    async def execute(
        self,
        command: Command,
        seconds: float,
        operator: str = '',
        number: int = 0,
    ) -> Outcome:
        """Run a command, retrying until its outcome is known.

        The command must be safe to retry: idempotent, or identified by the number
        that an operator gave it.

        Raises
        ------
        LinkError
            No outcome within ``seconds``; the command may still have run.
        AuthenticationError
            The token is unknown.
        """
        request = ExecuteRequest(
            operator=operator,
            number=number,
            command=command_codec.dump_json(command),
        )
        reply = await self._until_answered(
            lambda stub: stub.Execute(request, timeout=_CALL_TIMEOUT_SECONDS),
            seconds,
        )
        return outcome_codec.validate_json(reply.outcome)

    async def read(self, query: Query, answer: type[Answer], seconds: float) -> Answer:
        """Run a query; raises the same errors as ``execute``."""
        request = ReadRequest(query=query_codec.dump_json(query))
        reply = await self._until_answered(
            lambda stub: stub.Read(request, timeout=seconds),
            seconds,
        )
        return answer.model_validate_json(reply.answer)

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()

    async def _until_answered(
        self,
        call: Callable[[ControlStub], Awaitable[Reply]],
        seconds: float,
    ) -> Reply:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        backoff = _INITIAL_BACKOFF_SECONDS
        last_failure = 'no leader'
        while loop.time() < deadline:
            address = self.leader or self._next_address()
            self.leader = Address('')
            try:
                reply = await call(self._stub(address))
            except TRANSPORT_ERRORS as error:
                _raise_if_final(error)
                last_failure = f'{address}: {type(error).__name__}: {error}'
                self._drop(address)
            else:
                if getattr(reply, 'outcome', b'') or getattr(reply, 'answer', b''):
                    self.leader = address
                    return reply
                self.leader = Address(reply.leader_address)
                last_failure = f'{address} is not the leader'
            await asyncio.sleep(backoff)
            backoff = min(_MAX_BACKOFF_SECONDS, 2 * backoff)
        raise LinkError(f'control group: {last_failure} (tried for {seconds} s)')

    def _next_address(self) -> Address:
        self.address_index += 1
        return self.addresses[self.address_index % len(self.addresses)]

    def _stub(self, address: Address) -> ControlStub:
        if address not in self.channels:
            self.channels[address] = open_channel(address, self.token)
        return ControlStub(self.channels[address])

    def _drop(self, address: Address) -> None:
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()


def _raise_if_final(error: BaseException) -> None:
    if not isinstance(error, GRPCError):
        return
    if error.status is Status.UNAUTHENTICATED:
        raise AuthenticationError(str(error.message)) from error
    if error.status is Status.INVALID_ARGUMENT:
        raise RejectedError(str(error.message)) from error
