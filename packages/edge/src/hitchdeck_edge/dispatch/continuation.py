"""Which responses of a later upstream continue a stream that has begun.

The caller has a head and the first events.  Nothing else of a later upstream may reach
it, so that any other response is a failed attempt, whatever its status.
"""

from hitchdeck_core.event_streams import ids_of, is_later
from hitchdeck_edge.dispatch.response_parser import ResponseHead


def mismatch(begun: ResponseHead, head: ResponseHead) -> str:
    """Return why a response can't continue one that has begun; empty if it can."""
    if head.status != begun.status:
        return f'status {head.status} within a stream'
    if not head.is_event_stream:
        return 'body of another type within a stream'
    if head.encoding != begun.encoding:
        return 'another content encoding within a stream'
    return ''


def first_out_of_order(events: bytes, last_id: str) -> str:
    """Return the first id that does not rise; empty if all do.

    Parameters
    ----------
    events
        Complete events.
    last_id
        Id of the event before them.
    """
    for event_id in ids_of(events):
        if last_id and not is_later(event_id, last_id):
            return event_id
        last_id = event_id
    return ''
