"""A router's stream: heartbeats in; leases, deltas, directory and usage out."""

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

_MAX_WAIT_SECONDS = 1.0
_USAGE_PERIOD_SECONDS = 0.5
_ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 2.0

WatchStream = Stream[RouterBeat, ControlFrame]


@dataclass(slots=True)
class SentState:
    """What a router has been sent; times are seconds on the leader's clock."""

    version: int
    directory: DirectoryState | None = None
    quarantine: SyncPosition = SYNC_START
    usage_position: int = 0
    usage_at: float = float('-inf')
    behind_since: float | None = None


async def serve_router(leader: Leader, stream: WatchStream) -> None:
    """Serve a router until its stream or this leadership ends."""
    first = await stream.recv_message()
    if first is None:
        return
    try:
        leader.check_leads()
    except NotLeaderError as error:
        frame = ControlFrame(leader_address=error.leader_address)
        await stream.send_message(frame)
        return
    leadership = leader.observed_leadership
    presence = leader.routers.connect(first.hello)
    sent = SentState(version=int(first.hello.version))
    pushing = asyncio.create_task(_push_updates(leader, presence, stream, sent))
    try:
        await _answer_beat(leader, presence, stream, sent, first)
        async for beat in stream:
            if leader.observed_leadership is not leadership:
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
    sent: SentState,
    beat: RouterBeat,
) -> None:
    leader.check_leads()
    leader.usage.merge(presence.hello.incarnation, beat.usage)
    if beat.HasField('quarantine'):
        update = decode_update(beat.quarantine, leader.now())
        leader.quarantine.merge(update, presence.hello.router)
    leader.routers.acknowledge(presence, int(beat.version), beat.leaving)
    frame = _next_frame(leader, presence, sent)
    if _may_grant_lease(leader, presence, sent):
        seconds = leader.routers.grant_lease(presence)
        frame.lease.CopyFrom(
            Lease(
                sequence=beat.sequence,
                duration_ms=int(seconds * 1000),
                version=leader.machine.state.version,
            ),
        )
    await stream.send_message(frame)


async def _push_updates(
    leader: Leader,
    presence: Presence,
    stream: WatchStream,
    sent: SentState,
) -> None:
    while True:
        if sent.version >= leader.machine.state.version:
            await leader.machine.version_changed.wait(_MAX_WAIT_SECONDS)
        frame = _next_frame(leader, presence, sent)
        if frame.ByteSize():
            await stream.send_message(frame)


def _next_frame(leader: Leader, presence: Presence, sent: SentState) -> ControlFrame:
    """Return a frame with all pending updates, and record them as sent.

    There is no ``await`` between reading the state and recording it, so replies to
    heartbeats and pushes never send a delta twice or out of order.
    """
    frame = ControlFrame()
    if sent.version != leader.machine.state.version:
        frame.delta.CopyFrom(leader.deltas.since(sent.version))
        sent.version = leader.machine.state.version
    directory = leader.directory
    if sent.directory is not directory:
        frame.directory.CopyFrom(difference(sent.directory, directory))
        sent.directory = directory
    update, sent.quarantine = leader.quarantine.update_since(sent.quarantine)
    if update.has_verdicts:
        frame.quarantine.CopyFrom(encode_update(update, leader.now()))
    now = leader.now()
    if now - sent.usage_at >= _USAGE_PERIOD_SECONDS:
        frame.usage.extend(_usage_of_other_shards(leader, presence, sent))
        if frame.usage:
            frame.term = leader.replica.term
        sent.usage_position = leader.usage.position
        sent.usage_at = now
    return frame


def _usage_of_other_shards(
    leader: Leader,
    presence: Presence,
    sent: SentState,
) -> Iterator[UsageSum]:
    """Yield the usage sums that the schedulers on a router need."""
    for shard, assignment in leader.machine.state.duties.items():
        if assignment.incarnation == presence.hello.incarnation:
            yield from leader.usage.usage_outside(shard, sent.usage_position)


def _may_grant_lease(leader: Leader, presence: Presence, sent: SentState) -> bool:
    """Return whether a router may have a lease, which requires that it keeps up.

    Otherwise a router that sends heartbeats but applies no updates would keep a
    version from being in force everywhere, without a time limit.
    """
    now = leader.now()
    if presence.version >= leader.machine.state.version:
        sent.behind_since = None
    elif sent.behind_since is None:
        sent.behind_since = now
    behind = sent.behind_since
    return behind is None or now - behind < _ACKNOWLEDGEMENT_TIMEOUT_SECONDS
