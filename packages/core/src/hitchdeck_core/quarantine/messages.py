"""News of quarantined contents as they travel between processes."""

from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.casualties import Casualty
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.quarantine import News
from hitchdeck_core.quarantine.verdicts import Standing, Verdict
from hitchdeck_core.wire.quarantine_pb2 import (
    CasualtyRecord,
    QuarantineNews,
    VerdictRecord,
)

_MS = 1000


def encode_news(news: News, now: float) -> QuarantineNews:
    """Return the message for news, at a moment of the sender's clock."""
    return QuarantineNews(
        casualties=[
            CasualtyRecord(content=one.content, life=one.life)
            for one in news.casualties
        ],
        verdicts=[
            VerdictRecord(
                content=one.content,
                round=one.number,
                quarantined=one.standing is Standing.quarantined,
                age_ms=max(0, int((now - one.since) * _MS)),
            )
            for one in news.verdicts
        ],
    )


def decode_news(message: QuarantineNews, now: float) -> News:
    """Return the news of a message, at a moment of the receiver's clock."""
    return News(
        tuple(
            Casualty(Fingerprint(one.content), UpstreamIncarnation(one.life))
            for one in message.casualties
        ),
        tuple(_verdict(one, now) for one in message.verdicts),
    )


def _verdict(record: VerdictRecord, now: float) -> Verdict:
    standing = Standing.quarantined if record.quarantined else Standing.cleared
    since = now - record.age_ms / _MS
    content = Fingerprint(record.content)
    return Verdict(content, int(record.round), standing, since)
