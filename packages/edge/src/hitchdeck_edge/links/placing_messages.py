"""Conversion of placement queries and decisions to and from protobuf messages."""

from types import MappingProxyType

from hitchdeck_core.ids import (
    AccountName,
    PoolName,
    RequestId,
    SoftwareVersion,
    UpstreamName,
)
from hitchdeck_core.wire.spread_pb2 import Decision, Placed, PromptPart
from hitchdeck_core.wire.spread_pb2 import Wanted as WantedMessage
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.placing import (
    Choice,
    PlacementDecision,
    PlacementQuery,
)
from hitchdeck_edge.model.refusals import Refusal, Refused
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.model.upstreams import Upstream

_MILLISECONDS = 1000

_DECISIONS = MappingProxyType(
    {
        Refusal.over_share: Decision.DECISION_OVER_SHARE,
        Refusal.overloaded: Decision.DECISION_OVERLOADED,
        Refusal.no_upstream: Decision.DECISION_NO_UPSTREAM,
    },
)


def encode_wanted(ticket: int, query: PlacementQuery) -> WantedMessage:
    """Return the message of a placement query."""
    message = WantedMessage(
        id=ticket,
        pool=query.pool,
        account=query.account or '',
        goal_ms=int(query.goal * _MILLISECONDS),
        tried=query.tried,
        avoid=query.avoid,
        areas=query.areas,
        body_bytes=query.body_bytes,
        resumes=query.resumes,
        request=query.request,
        longest_wait_ms=int(query.longest_wait * _MILLISECONDS),
        priority=query.priority,
        software=query.software,
        streams=query.streams,
    )
    if query.prompt is not None:
        message.tokens = query.prompt.tokens
        message.expected_made = query.prompt.expected_output_tokens
        message.parts.extend(
            PromptPart(part=part.part_id, tokens=part.tokens)
            for part in query.prompt.parts
        )
    return message


def decode_wanted(message: WantedMessage, domain: str, slots: int) -> PlacementQuery:
    """Return the placement query of a message from a box in a failure domain."""
    parts = tuple(Part(PartId(one.part), int(one.tokens)) for one in message.parts)
    return PlacementQuery(
        request=RequestId(message.request),
        pool=PoolName(message.pool),
        domain=domain,
        slots=slots,
        goal=message.goal_ms / _MILLISECONDS,
        account=AccountName(message.account) if message.account else None,
        prompt=Prompt(int(message.tokens), int(message.expected_made), parts),
        tried=frozenset(UpstreamName(one) for one in message.tried),
        resumes=message.resumes,
        avoid=frozenset(UpstreamName(one) for one in message.avoid),
        areas=frozenset(message.areas),
        body_bytes=int(message.body_bytes),
        priority=int(message.priority),
        longest_wait=message.longest_wait_ms / _MILLISECONDS,
        software=SoftwareVersion(message.software),
        streams=tuple(StreamKey(int(key)) for key in message.streams),
    )


def encode_decision(ticket: int, decision: PlacementDecision) -> Placed:
    """Return the message of the scheduler's decision."""
    if isinstance(decision, Refused):
        retry_after = max(1, int(decision.retry_after * _MILLISECONDS))
        code = _DECISIONS[decision.refusal]
        return Placed(id=ticket, decision=code, retry_after_ms=retry_after)
    if isinstance(decision, Refusal):
        return Placed(id=ticket, decision=_DECISIONS[decision])
    return Placed(
        id=ticket,
        upstream=decision.upstream.name,
        unread=decision.tokens,
        queue_ms=int(decision.queue * _MILLISECONDS),
        cache_source=decision.source.name if decision.source else '',
    )


def encode_wait(ticket: int) -> Placed:
    """Return the message that a request waits at the scheduler."""
    return Placed(id=ticket, decision=Decision.DECISION_WAITS)


def decode_refusal(placed: Placed) -> Refusal | Refused | None:
    """Return the refusal in an answer, or ``None`` if a request was placed."""
    for refusal, code in _DECISIONS.items():
        if placed.decision == code:
            if placed.retry_after_ms:
                return Refused(refusal, placed.retry_after_ms / _MILLISECONDS)
            return refusal
    return None


def decode_choice(
    placed: Placed, upstream: Upstream, source: Upstream | None = None
) -> Choice:
    """Return the choice in an answer, given the upstreams that it names."""
    queue = placed.queue_ms / _MILLISECONDS
    tokens, ticket = int(placed.unread), int(placed.id)
    return Choice(upstream, tokens, queue, ticket, source=source)
