"""Conversion of upstreams and suspicions to and from protobuf messages."""

from collections.abc import Iterable
from types import MappingProxyType

from hitchdeck_core import logs
from hitchdeck_core.ids import (
    Address,
    InstanceName,
    PoolName,
    SoftwareVersion,
    UpstreamName,
)
from hitchdeck_core.wire.spread_pb2 import (
    SuspicionRecord,
    UpstreamPhase,
    UpstreamRecord,
)
from hitchdeck_edge.model.upstreams import Phase, Suspicion, Upstream

_PHASES = MappingProxyType(
    {
        Phase.serving: UpstreamPhase.UPSTREAM_PHASE_SERVING,
        Phase.leaving: UpstreamPhase.UPSTREAM_PHASE_LEAVING,
        Phase.gone: UpstreamPhase.UPSTREAM_PHASE_GONE,
    },
)


_MILLISECONDS = 1000


def encode_upstream(upstream: Upstream, cold_left: float = 0.0) -> UpstreamRecord:
    """Return the message of an upstream; ``cold_left`` is its cold time in seconds."""
    return UpstreamRecord(
        upstream=upstream.name,
        pool=upstream.pool,
        address=upstream.address,
        domain=upstream.domain,
        slots=upstream.slots,
        phase=_PHASES[upstream.phase],
        sequence=upstream.sequence,
        cleared_by=upstream.cleared_by,
        instance=upstream.instance,
        born=upstream.born,
        cold_left_ms=round(cold_left * _MILLISECONDS),
        software=upstream.software,
    )


def decode_upstream(record: UpstreamRecord) -> Upstream:
    """Return the upstream of a message."""
    return Upstream(
        name=UpstreamName(record.upstream),
        pool=PoolName(record.pool),
        address=Address(record.address),
        domain=record.domain,
        slots=int(record.slots),
        phase=Phase(int(record.phase)),
        sequence=int(record.sequence),
        cleared_by=int(record.cleared_by),
        instance=InstanceName(record.instance),
        born=int(record.born),
        cold_left=record.cold_left_ms / _MILLISECONDS,
        software=SoftwareVersion(record.software),
    )


def encode_suspicion(suspicion: Suspicion) -> SuspicionRecord:
    """Return the message of a suspected crash."""
    return SuspicionRecord(upstream=suspicion.upstream, cleared_by=suspicion.cleared_by)


def decode_suspicion(record: SuspicionRecord) -> Suspicion:
    """Return the suspected crash of a message."""
    return Suspicion(UpstreamName(record.upstream), int(record.cleared_by))


def decode_upstreams(records: Iterable[UpstreamRecord]) -> list[Upstream]:
    """Return the upstreams of messages, without those that can't be decoded.

    One record from another version of the software must not hide the others.
    """
    decoded: list[Upstream] = []
    for record in records:
        try:
            decoded.append(decode_upstream(record))
        except ValueError as error:
            logs.warning(
                'upstream record not decodable',
                upstream=record.upstream,
                reason=str(error),
            )
    return decoded
