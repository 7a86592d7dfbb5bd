"""Conversion of the origins of streams to and from protobuf messages."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

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
) -> Iterator[tuple[StreamKey, StreamOrigin]]:
    """Yield the streams and origins in messages; a stream may have several."""
    for message in messages:
        pool, software = PoolName(message.pool), SoftwareVersion(message.software)
        for key in message.streams:
            yield StreamKey(int(key)), StreamOrigin(pool, software)
