"""Encoding of quarantine updates as protobuf messages."""

from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.crash_history import CrashRecord
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.quarantine import QuarantineUpdate
from hitchdeck_core.quarantine.verdicts import Verdict, VerdictStatus
from hitchdeck_core.wire.quarantine_pb2 import (
    CasualtyRecord,
    QuarantineNews,
    VerdictRecord,
)

_MS = 1000


def encode_update(update: QuarantineUpdate, now: float) -> QuarantineNews:
    """Encode an update; ``now`` is the present time of the sender's clock."""
    return QuarantineNews(
        casualties=[
            CasualtyRecord(content=one.fingerprint, life=one.incarnation)
            for one in update.crashes
        ],
        verdicts=[
            VerdictRecord(
                content=one.fingerprint,
                round=one.round_number,
                quarantined=one.status is VerdictStatus.quarantined,
                age_ms=max(0, int((now - one.since) * _MS)),
            )
            for one in update.verdicts
        ],
    )


def decode_update(message: QuarantineNews, now: float) -> QuarantineUpdate:
    """Decode an update; ``now`` is the present time of the receiver's clock."""
    return QuarantineUpdate(
        tuple(
            CrashRecord(Fingerprint(one.content), UpstreamIncarnation(one.life))
            for one in message.casualties
        ),
        tuple(_verdict(one, now) for one in message.verdicts),
    )


def _verdict(record: VerdictRecord, now: float) -> Verdict:
    status = VerdictStatus.quarantined if record.quarantined else VerdictStatus.cleared
    since = now - record.age_ms / _MS
    fingerprint = Fingerprint(record.content)
    return Verdict(fingerprint, int(record.round), status, since)
