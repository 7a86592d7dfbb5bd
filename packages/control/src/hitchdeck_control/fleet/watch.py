"""One router's stream: beats in; leases, deltas, directory and usage out."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from grpclib.server import Stream

from hitchdeck_control.errors import NotLeaderError
from hitchdeck_control.fleet.directory import DirectoryState, difference
from hitchdeck_control.fleet.leader import Leader
from hitchdeck_control.fleet.presence import Presence
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.quarantine import SYNC_START, SyncPosition
from hitchdeck_core.wire.hitchdeck_pb2 import (
    ControlFrame,
    Lease,
    RouterBeat,
    UsageSum,
)

_LONGEST_WAIT = 1.0
_USAGE_PERIOD = 0.5
_OVERDUE_ACKNOWLEDGEMENT = 2.0

WatchStream = Stream[RouterBeat, ControlFrame]


@dataclass(slots=True)
class Sent:
    """What a router has been sent; versions, positions, leader's seconds."""

    version: int
    directory: DirectoryState | None = None
    quarantine: SyncPosition = SYNC_START
    usage_position: int = 0
    usage_at: float = float('-inf')
    behind_since: float | None = None


async def attend_router(leader: Leader, stream: WatchStream) -> None:
    """Serve one router until its stream or this leadership ends."""
    first = await stream.recv_message()
    if first is None:
        return
    try:
        leader.check_leads()
    except NotLeaderError as error:
        frame = ControlFrame(leader_address=error.leader_address)
        await stream.send_message(frame)
        return
    leadership = leader.seen
    presence = leader.routers.connect(first.hello)
    sent = Sent(version=int(first.hello.version))
    pushing = asyncio.create_task(_push(leader, presence, stream, sent))
    try:
        await _answer_beat(leader, presence, stream, sent, first)
        async for beat in stream:
            if leader.seen is not leadership:
                return
            await _answer_beat(leader, presence, stream, sent, beat)
    except NotLeaderError as error:
        await stream.send_message(ControlFrame(leader_address=error.leader_address))
    finally:
        pushing.cancel()
        leader.routers.disconnect(presence)


async def _answer_beat(
    leader: Leader,
    presence: Presence,
    stream: WatchStream,
    sent: Sent,
    beat: RouterBeat,
) -> None:
    leader.check_leads()
    leader.usage.merge(presence.hello.incarnation, beat.usage)
    if beat.HasField('quarantine'):
        news = decode_update(beat.quarantine, leader.now())
        leader.quarantine.merge(news, presence.hello.router)
    leader.routers.acknowledge(presence, int(beat.version), beat.leaving)
    frame = _news(leader, presence, sent)
    if _may_have_lease(leader, presence, sent):
        seconds = leader.routers.grant_lease(presence)
        frame.lease.CopyFrom(
            Lease(
                sequence=beat.sequence,
                duration_ms=int(seconds * 1000),
                version=leader.machine.state.version,
            ),
        )
    await stream.send_message(frame)


async def _push(
    leader: Leader,
    presence: Presence,
    stream: WatchStream,
    sent: Sent,
) -> None:
    while True:
        if sent.version >= leader.machine.state.version:
            await leader.machine.news.wait(_LONGEST_WAIT)
        frame = _news(leader, presence, sent)
        if frame.ByteSize():
            await stream.send_message(frame)


def _news(leader: Leader, presence: Presence, sent: Sent) -> ControlFrame:
    """Return what the router lacks, and note it as sent.

    Nothing awaits between reading the state and noting it, so beats and
    pushes of one stream never send the same delta twice or out of order.
    """
    frame = ControlFrame()
    if sent.version != leader.machine.state.version:
        frame.delta.CopyFrom(leader.deltas.since(sent.version))
        sent.version = leader.machine.state.version
    directory = leader.directory
    if sent.directory is not directory:
        frame.directory.CopyFrom(difference(sent.directory, directory))
        sent.directory = directory
    news, sent.quarantine = leader.quarantine.update_since(sent.quarantine)
    if news.verdicts:
        frame.quarantine.CopyFrom(encode_update(news, leader.now()))
    now = leader.now()
    if now - sent.usage_at >= _USAGE_PERIOD:
        frame.usage.extend(_service_elsewhere(leader, presence, sent))
        if frame.usage:
            frame.term = leader.replica.term
        sent.usage_position = leader.usage.position
        sent.usage_at = now
    return frame


def _service_elsewhere(
    leader: Leader,
    presence: Presence,
    sent: Sent,
) -> Iterator[UsageSum]:
    """Yield the sums that the schedulers on a router need."""
    for shard, duty in leader.machine.state.duties.items():
        if duty.incarnation == presence.hello.incarnation:
            yield from leader.usage.elsewhere(shard, sent.usage_position)


def _may_have_lease(leader: Leader, presence: Presence, sent: Sent) -> bool:
    """Withhold the lease from a router that does not take up a version.

    A router that beats but never applies would otherwise hold up "in force
    everywhere" for ever.
    """
    now = leader.now()
    if presence.version >= leader.machine.state.version:
        sent.behind_since = None
    elif sent.behind_since is None:
        sent.behind_since = now
    behind = sent.behind_since
    return behind is None or now - behind < _OVERDUE_ACKNOWLEDGEMENT
