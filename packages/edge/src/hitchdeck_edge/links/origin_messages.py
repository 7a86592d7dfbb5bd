"""Conversion of the origins of streams to and from protobuf messages."""

from collections import defaultdict
from collections.abc import Iterable

from hitchdeck_core.ids import PoolName, SoftwareVersion
from hitchdeck_core.wire.spread_pb2 import StreamOrigins as OriginsMessage
from hitchdeck_edge.model.stream_origins import StreamKey, StreamOrigin


def encode_origins(
    records: Iterable[tuple[StreamKey, StreamOrigin]],
) -> list[OriginsMessage]:
    """Return one message for each origin, with its streams."""
    streams: dict[StreamOrigin, list[StreamKey]] = defaultdict(list)
    for key, origin in records:
        streams[origin].append(key)
    return [
        OriginsMessage(pool=origin.pool, software=origin.software, streams=keys)
        for origin, keys in streams.items()
    ]


def decode_origins(
    messages: Iterable[OriginsMessage],
) -> dict[StreamKey, StreamOrigin]:
    """Return the origins in messages, by stream."""
    origins: dict[StreamKey, StreamOrigin] = {}
    for message in messages:
        origin = StreamOrigin(PoolName(message.pool), SoftwareVersion(message.software))
        origins.update((StreamKey(int(key)), origin) for key in message.streams)
    return origins
