"""Encoding of quarantine updates as protobuf messages."""

from collections.abc import Iterable

from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.crash_history import CrashRecord
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.quarantine import QuarantineUpdate
from hitchdeck_core.quarantine.verdicts import Verdict, VerdictStatus
from hitchdeck_core.wire.quarantine_pb2 import (
    CasualtyRecord,
    PartCrashRecord,
    QuarantineNews,
    VerdictRecord,
)

_MS = 1000
_AGE_BITS = 32
_MAX_AGE_MS = 2**_AGE_BITS - 1


def encode_update(update: QuarantineUpdate, now: float) -> QuarantineNews:
    """Encode an update; ``now`` is the present time of the sender's clock."""
    return QuarantineNews(
        casualties=[
            CasualtyRecord(
                content=one.fingerprint,
                life=one.incarnation,
                age_ms=_age_ms(one.at, now),
            )
            for one in update.crashes
            if not one.position
        ],
        verdicts=_encoded_verdicts(update.verdicts, now),
        part_crashes=[
            PartCrashRecord(
                part=one.fingerprint,
                incarnation=one.incarnation,
                content=one.content,
                position=one.position,
                age_ms=_age_ms(one.at, now),
            )
            for one in update.crashes
            if one.position
        ],
        part_verdicts=_encoded_verdicts(update.part_verdicts, now),
    )


def decode_update(message: QuarantineNews, now: float) -> QuarantineUpdate:
    """Decode an update; ``now`` is the present time of the receiver's clock."""
    whole = [
        CrashRecord(
            Fingerprint(one.content),
            UpstreamIncarnation(one.life),
            at=now - one.age_ms / _MS,
        )
        for one in message.casualties
    ]
    parts = [
        CrashRecord(
            Fingerprint(one.part),
            UpstreamIncarnation(one.incarnation),
            Fingerprint(one.content),
            max(1, int(one.position)),
            now - one.age_ms / _MS,
        )
        for one in message.part_crashes
    ]
    return QuarantineUpdate(
        (*whole, *parts),
        tuple(_verdict(one, now) for one in message.verdicts),
        tuple(_verdict(one, now) for one in message.part_verdicts),
    )


def _encoded_verdicts(verdicts: Iterable[Verdict], now: float) -> list[VerdictRecord]:
    return [
        VerdictRecord(
            content=one.fingerprint,
            round=one.round_number,
            quarantined=one.status is VerdictStatus.quarantined,
            age_ms=_age_ms(one.since, now),
            withdrawn=one.status is VerdictStatus.withdrawn,
            failed_trials=one.failed_trials,
        )
        for one in verdicts
    ]


def _age_ms(at: float, now: float) -> int:
    return int(min(_MAX_AGE_MS, max(0, (now - at) * _MS)))


def _verdict(record: VerdictRecord, now: float) -> Verdict:
    status = VerdictStatus.quarantined if record.quarantined else VerdictStatus.cleared
    if record.withdrawn:
        status = VerdictStatus.withdrawn
    since = now - record.age_ms / _MS
    fingerprint = Fingerprint(record.content)
    return Verdict(
        fingerprint, int(record.round), status, since, int(record.failed_trials)
    )
