"""Origins of streams: bounded, renewed while open, told once, asked of every hub."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from hitchdeck_core.ids import AccountName, Address, PoolName, RequestId
from hitchdeck_core.quarantine.fingerprints import fingerprint_of
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello
from hitchdeck_edge.hub.spread import SpreadService, _Sent, new_state
from hitchdeck_edge.links.origin_messages import decode_origins, encode_origins
from hitchdeck_edge.links.placing_messages import decode_wanted, encode_wanted
from hitchdeck_edge.model.stream_origins import (
    StreamKey,
    StreamOrigin,
    content_key,
    is_by_content,
    request_key,
)
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state import origin_lookup, stream_origins
from hitchdeck_edge.state.origin_lookup import MAX_LOOKUPS, OriginLookup
from hitchdeck_edge.state.stream_origins import GENERATION_SECONDS, StreamOrigins
from hitchdeck_platform.documents import read_document
from tests.common.scheduling import FakeClock, wanted

V1 = StreamOrigin(PoolName('llm'), 'v1')
V2 = StreamOrigin(PoolName('llm'), 'v2')
UNKNOWN = StreamOrigin(PoolName('llm'), '')
HUBS = (Address('10.0.0.1:1'), Address('10.0.0.2:1'))
KEY = StreamKey(8)
CONTENT = StreamKey(9)
MAX_AGE = 6.0


@pytest.mark.parametrize(
    ('seconds', 'known'),
    [
        (0, True),
        (GENERATION_SECONDS, True),
        (2 * GENERATION_SECONDS + 0.2, False),
    ],
)
def test_a_record_is_kept_for_a_generation_at_least(
    seconds: float, known: bool
) -> None:
    clock = FakeClock()
    origins = StreamOrigins(clock)
    clock.seconds += GENERATION_SECONDS - 0.1
    origins.remember([KEY], V1)
    for _ in range(2):
        clock.seconds += seconds / 2
        found = origins.find(KEY)
    assert (found == V1) == known


def test_the_record_of_an_open_stream_is_renewed_and_told_again() -> None:
    clock = FakeClock()
    origins = StreamOrigins(clock)
    origins.begin([KEY], V1)
    _, told = origins.own_since(0)
    for _ in range(5):
        clock.seconds += GENERATION_SECONDS + 0.1
        assert origins.find(KEY) == V1
        fresh, told = origins.own_since(told)
        assert fresh == [(KEY, V1)]
    origins.end([KEY])
    for _ in range(3):
        clock.seconds += GENERATION_SECONDS + 0.1
        origins.find(KEY)
    assert origins.find(KEY) is None
    assert origins.own_since(0)[0] == []


def test_records_are_bounded_and_the_oldest_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_origins, 'MAX_GENERATION_RECORDS', 10)
    origins = StreamOrigins(FakeClock())
    for number in range(1, 100):
        origins.begin([StreamKey(number)], V1)
        origins.end([StreamKey(number)])
    assert len(origins.recent) + len(origins.older) <= 20
    assert len(origins.own) <= 20
    assert origins.find(StreamKey(1)) is None
    assert origins.find(StreamKey(99)) == V1
    fresh, _ = origins.own_since(95)
    assert [key for key, _ in fresh] == [96, 97, 98, 99]


def test_repeated_requests_fill_no_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    # Their keys are equal, so that the records of a generation alone do not grow.
    monkeypatch.setattr(stream_origins, 'MAX_GENERATION_RECORDS', 10)
    origins = StreamOrigins(FakeClock())
    for _ in range(100):
        origins.begin([KEY, CONTENT], V1)
        origins.end([KEY, CONTENT])
    assert len(origins.own) <= 20
    assert origins.find(KEY) == V1


async def test_a_hub_keeps_a_bounded_number_of_questions_of_a_box(
    tmp_path: Path,
) -> None:
    state = new_state(HubSettings(**hub_settings(tmp_path)), read_document)
    service = SpreadService(state)
    connected_box = state.connected_boxes.register(Hello(box='box', domain='a'))
    for _ in range(3):
        frame = BoxFrame(wanted_origins=range(2 * MAX_LOOKUPS))
        service._apply_frame(connected_box, frame)
    assert len(connected_box.wanted_origins) == MAX_LOOKUPS
    answer = service._next_frame(connected_box, _Sent())
    assert len(answer.unknown_origins) == MAX_LOOKUPS
    assert not connected_box.wanted_origins


def hub_settings(folder: Path) -> dict[str, object]:
    return {
        'box': 'hub',
        'domain': 'a',
        'seeds': ('127.0.0.1:1',),
        'listen': '127.0.0.1:1',
        'control_listen': '127.0.0.1:2',
        'directory_listen': '127.0.0.1:3',
        'data_folder': folder,
        'may_found': True,
        'disks_lost': 0,
    }


def test_an_unknown_version_is_not_recorded() -> None:
    origins = StreamOrigins(FakeClock())
    origins.begin([KEY, CONTENT], UNKNOWN)
    assert origins.find(KEY) is None
    assert origins.find(CONTENT) is None
    assert origins.own_since(0) == ([], 0)


@pytest.mark.parametrize('generations', [0, 1])
def test_a_content_that_began_at_two_versions_is_unknown(generations: int) -> None:
    clock = FakeClock()
    origins = StreamOrigins(clock)
    origins.remember([KEY, CONTENT], V1)
    assert origins.find(CONTENT) == V1
    clock.seconds += generations * (GENERATION_SECONDS + 0.1)
    origins.remember([KEY, CONTENT], V2)
    origins.remember([KEY, CONTENT], V2)
    assert origins.find(CONTENT) == UNKNOWN
    # An id names one request, which was placed again before its first event.
    assert origins.find(KEY) == V2


def test_a_content_of_two_versions_stays_unknown_while_a_stream_is_open() -> None:
    clock = FakeClock()
    origins = StreamOrigins(clock)
    origins.begin([CONTENT], V1)
    origins.remember([CONTENT], V2)
    for _ in range(3):
        clock.seconds += GENERATION_SECONDS + 0.1
        assert origins.find(CONTENT) == UNKNOWN


def test_keys_differ_by_account_and_request() -> None:
    keys = {
        request_key(account, RequestId(request))
        for account in (None, AccountName('ann'), AccountName('bob'))
        for request in ('r1', 'r2')
    }
    assert len(keys) == 6
    assert not any(is_by_content(key) for key in keys)
    assert is_by_content(content_key(fingerprint_of(b'one')))


def test_origins_and_versions_survive_their_messages() -> None:
    records = {StreamKey(2**64 - 1): V1, StreamKey(2): V2, StreamKey(3): V1}
    messages = encode_origins(records.items())
    assert len(messages) == 2
    assert dict(decode_origins(messages)) == records
    query = replace(wanted(), software='v1', streams=(KEY, CONTENT))
    decoded = decode_wanted(encode_wanted(1, query), 'a', 8)
    assert (decoded.software, decoded.streams) == ('v1', (KEY, CONTENT))


def lookup_at(*hubs: Address) -> OriginLookup:
    return OriginLookup(StreamOrigins(FakeClock()), Signal(), lambda: hubs)


async def begun(lookup: OriginLookup) -> asyncio.Task[StreamOrigin | None]:
    task = asyncio.create_task(lookup.find(KEY, MAX_AGE))
    await asyncio.sleep(0)
    return task


async def test_the_first_hub_that_knows_a_stream_answers() -> None:
    lookup = lookup_at(*HUBS)
    tasks = [await begun(lookup) for _ in range(2)]
    for hub in HUBS:
        assert lookup.take_wanted(hub) == [KEY]
        assert lookup.take_wanted(hub) == []
    lookup.apply(HUBS[0], [], [KEY], MAX_AGE)
    await asyncio.sleep(0)
    assert not any(task.done() for task in tasks)
    lookup.apply(HUBS[1], [(KEY, V1)], [], MAX_AGE)
    assert await asyncio.gather(*tasks) == [V1, V1]
    assert await lookup.find(KEY, MAX_AGE) == V1


@pytest.mark.parametrize('lost', [True, False])
async def test_a_stream_is_unknown_once_no_hub_can_answer(lost: bool) -> None:
    lookup = lookup_at(*HUBS)
    task = await begun(lookup)
    lookup.apply(HUBS[0], [], [KEY], MAX_AGE)
    if lost:
        lookup.forget_hub(HUBS[1])
    else:
        lookup.apply(HUBS[1], [], [KEY], MAX_AGE)
    assert await asyncio.wait_for(task, 1) is None
    assert not lookup.open


@pytest.mark.parametrize(
    ('answers', 'expected'),
    [((V1, V1), V1), ((V1, None), V1), ((V1, V2), None), ((V1, UNKNOWN), None)],
)
async def test_all_hubs_are_heard_of_a_content(
    answers: tuple[StreamOrigin | None, ...], expected: StreamOrigin | None
) -> None:
    lookup = lookup_at(*HUBS)
    task = asyncio.create_task(lookup.find(CONTENT, MAX_AGE))
    await asyncio.sleep(0)
    for hub, origin in zip(HUBS, answers, strict=True):
        assert not task.done()
        found = [(CONTENT, origin)] if origin else []
        lookup.apply(hub, found, [] if origin else [CONTENT], MAX_AGE)
    assert await task == expected


async def test_a_lookup_ends_in_time_and_is_not_begun_without_hubs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(origin_lookup, 'LOOKUP_SECONDS', 0.01)
    lookup = lookup_at(*HUBS)
    assert await asyncio.wait_for(lookup.find(KEY, MAX_AGE), 5) is None
    assert not lookup.open
    assert await lookup_at().find(KEY, MAX_AGE) is None


async def test_a_caller_that_leaves_does_not_end_the_lookup_of_another() -> None:
    lookup = lookup_at(*HUBS)
    tasks = [await begun(lookup) for _ in range(2)]
    tasks[0].cancel()
    await asyncio.sleep(0)
    lookup.apply(HUBS[0], [(KEY, V2)], [], MAX_AGE)
    assert await tasks[1] == V2


@pytest.mark.parametrize(
    ('complete', 'own', 'expected'),
    [
        ((0, 0), None, None),
        ((MAX_AGE - 0.1, 0), None, None),
        ((0, MAX_AGE), None, V1),
        ((MAX_AGE, 0), V1, V1),
        ((0, 0), V1, None),
        ((MAX_AGE, MAX_AGE), V2, None),
    ],
)
async def test_a_content_is_certain_only_if_a_hub_forgot_nothing(
    complete: tuple[float, float],
    own: StreamOrigin | None,
    expected: StreamOrigin | None,
) -> None:
    # The only record that processes had after a restart was taken for the stream's.
    lookup = lookup_at(*HUBS)
    if own is not None:
        lookup.origins.remember([CONTENT], own)
    task = asyncio.create_task(lookup.find(CONTENT, MAX_AGE))
    await asyncio.sleep(0)
    for hub, seconds in zip(HUBS, complete, strict=True):
        lookup.apply(hub, [(CONTENT, V1)], [], seconds)
    assert await task == expected


@pytest.mark.parametrize(('answers', 'expected'), [(0, None), (1, V1)])
async def test_a_hub_that_forgot_nothing_is_enough_for_a_content(
    monkeypatch: pytest.MonkeyPatch, answers: int, expected: StreamOrigin | None
) -> None:
    monkeypatch.setattr(origin_lookup, 'LOOKUP_SECONDS', 0.01)
    lookup = lookup_at(*HUBS)
    lookup.origins.remember([CONTENT], V1)
    task = asyncio.create_task(lookup.find(CONTENT, MAX_AGE))
    await asyncio.sleep(0)
    for hub in HUBS[:answers]:
        lookup.apply(hub, [], [CONTENT], MAX_AGE)
    assert await task == expected


def test_records_that_are_dropped_for_their_number_are_known_to_be_missing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_origins, 'MAX_GENERATION_RECORDS', 10)
    clock = FakeClock()
    origins = StreamOrigins(clock)
    began = {}
    for number in range(1, 100):
        clock.seconds += 0.1
        origins.remember([StreamKey(number)], V1)
        began[number] = clock.seconds
        kept = {key for key in began if origins.find(StreamKey(key))}
        assert all(
            key in kept for key, at in began.items() if at > origins.complete_since
        )
    assert origins.complete_since > 0
