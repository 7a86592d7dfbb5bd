"""Conversion of reports on plain services to and from protobuf messages."""

from collections.abc import Iterable

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.wire.spread_pb2 import ServiceReport as ReportMessage
from hitchdeck_core.wire.spread_pb2 import ServiceState as StateMessage
from hitchdeck_edge.scheduling.service_health import ServiceReport, ServiceState
from hitchdeck_edge.state.tallies import MAX_UINT32

_MILLISECONDS = 1000
_PERCENT = 100


def encode_reports(reports: Iterable[ServiceReport]) -> list[ReportMessage]:
    """Return the messages of a box's reports."""
    return [
        ReportMessage(
            upstream=one.upstream,
            running=one.running,
            succeeded=one.succeeded,
            succeeded_ms=_milliseconds(one.seconds),
            failed=one.failed,
            heard=one.heard_ago is not None,
            heard_ago_ms=_milliseconds(one.heard_ago or 0),
            unanswered=one.unanswered_ago is not None,
            unanswered_ms=_milliseconds(one.unanswered_ago or 0),
        )
        for one in reports
    ]


def decode_report(message: ReportMessage) -> ServiceReport:
    """Return the report in a message."""
    heard_ago = message.heard_ago_ms / _MILLISECONDS
    unanswered_ago = message.unanswered_ms / _MILLISECONDS
    return ServiceReport(
        UpstreamName(message.upstream),
        int(message.running),
        int(message.succeeded),
        message.succeeded_ms / _MILLISECONDS,
        int(message.failed),
        heard_ago if message.heard else None,
        unanswered_ago if message.unanswered else None,
    )


def encode_states(states: Iterable[ServiceState]) -> list[StateMessage]:
    """Return the messages of states for a box."""
    return [
        StateMessage(
            upstream=one.upstream,
            running=one.running,
            mean_ms=_milliseconds(one.seconds),
            failed_percent=round(one.failure_rate * _PERCENT),
            silent=one.silent,
        )
        for one in states
    ]


def decode_states(messages: Iterable[StateMessage]) -> list[ServiceState]:
    """Return the states in messages."""
    return [
        ServiceState(
            UpstreamName(one.upstream),
            int(one.running),
            one.mean_ms / _MILLISECONDS,
            one.failed_percent / _PERCENT,
            one.silent,
        )
        for one in messages
    ]


def _milliseconds(seconds: float) -> int:
    return min(MAX_UINT32, round(seconds * _MILLISECONDS))
