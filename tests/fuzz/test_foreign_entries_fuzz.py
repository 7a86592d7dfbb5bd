"""Malformed upstream records from other writers are rejected.

Fields are missing, of a wrong type, huge or nested, or the record cannot be parsed at
all.  The error names the field, the log line stays short, and the records of known
upstreams do not change.
"""

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import PoolName
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import UpstreamRecord
from hitchdeck_edge.links.records import decode_upstreams, encode_upstream
from hitchdeck_edge.model.upstreams import Phase
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import DECODE_ERRORS
from hitchdeck_platform.hub_api import decode_departure, decode_upstream
from tests.common.scheduling import FakeClock

SOUND = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'sequence': 1,
    'born': 1_700_000_000_000,
}
LONGEST_REASON = 400
NEEDED = ('service', 'address', 'state', 'sequence')

anything = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=2000)
    | st.sampled_from(['x' * 100_000, -1, 2**70, '', 7.5]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=5,
)


def reason_of(body: Any) -> str:
    """Return why an entry is rejected, or an empty string if it is accepted."""
    try:
        decode_upstream('e0', body)
    except DECODE_ERRORS as error:
        return str(error)
    return ''


@pytest.mark.parametrize('field', NEEDED)
def test_an_entry_that_lacks_a_field_is_refused_by_its_name(field: str) -> None:
    body = {name: given for name, given in SOUND.items() if name != field}
    assert reason_of(body).startswith(field)


@pytest.mark.parametrize(
    'born', [None, '1', 7.5, -1, True, [], {}, 2**70, '1700000000000']
)
def test_a_start_that_is_no_whole_number_makes_an_entry_unusable(born: object) -> None:
    assert reason_of({**SOUND, 'born': born}).startswith('born')


@given(st.sampled_from(sorted(SOUND)), anything)
def test_a_field_of_another_type_is_refused_in_few_words(
    field: str, given_value: Any
) -> None:
    reason = reason_of({**SOUND, field: given_value})
    assert not reason or reason.startswith(field)
    assert len(reason) <= LONGEST_REASON


@given(anything)
def test_what_is_no_entry_is_refused_in_few_words(body: Any) -> None:
    reason = reason_of(body)
    assert reason
    assert len(reason) <= LONGEST_REASON


@given(st.binary(max_size=200))
def test_a_departure_that_cannot_be_read_is_refused_as_such(body: bytes) -> None:
    try:
        born = decode_departure(body)
    except DECODE_ERRORS:
        return
    assert born >= 0


@given(st.binary(max_size=60), st.integers(0, 2))
def test_one_record_that_cannot_be_read_keeps_nobody_from_the_others(
    noise: bytes, place: int
) -> None:
    sound = decode_upstream('e0', SOUND)
    records = [encode_upstream(sound)]
    broken = UpstreamRecord(upstream='x', phase=17)  # type: ignore[arg-type]
    broken.domain = noise.decode('latin-1')
    records.insert(min(place, 1), broken)
    decoded = decode_upstreams(records)
    assert decoded == [sound]


@given(st.lists(anything, max_size=4))
def test_nobodys_earlier_state_is_lost_by_foreign_entries(bodies: list[Any]) -> None:
    registry = Registry(FakeClock(), Signal())
    registry.merge(decode_upstream('e0', SOUND), 'test')
    for body in bodies:
        read = json.loads(json.dumps(body, default=str))
        with contextlib.suppress(*DECODE_ERRORS):
            registry.merge(decode_upstream('other', read), 'test')
    kept = registry.serving(PoolName('llm'))
    assert [one.phase for one in kept] == [Phase.serving]
