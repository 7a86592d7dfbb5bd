"""Headers of a caller that reach an upstream."""

from dataclasses import replace

import pytest

from hitchdeck_core.ids import AccountName
from hitchdeck_core.retry_after import MAX_RETRY_AFTER_SECONDS
from hitchdeck_edge.model.adapter import Forwarding
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_platform.requests import forward_headers, read_answer, read_call
from tests.common.scheduling import engine

FORWARDING = Forwarding(engine('e0'), AccountName('ann'), 1.5, '', 0)


def forwarded(*given: tuple[str, str]) -> list[tuple[bytes, bytes]]:
    call = read_call('POST', '/a/b', [('Host', 'h'), *given])
    return forward_headers(call, FORWARDING)


@pytest.mark.parametrize(
    'name',
    [
        'Hold',
        'Pin-Ms',
        'Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        'Expect-Version',
        'Authorization',
        'Expect',
    ],
)
@pytest.mark.parametrize('change_case', [str, str.lower, str.upper, str.swapcase])
@pytest.mark.parametrize('times', [1, 2])
def test_system_headers_are_never_taken_from_a_caller(
    name: str,
    change_case: type[str],
    times: int,
) -> None:
    spelled = change_case(name)
    headers = forwarded(*[(spelled, 'x')] * times, ('Model', 'm'))
    assert name.lower().encode() not in {one.lower() for one, _ in headers}
    assert (b'Model', b'm') in headers


@pytest.mark.parametrize(
    ('name', 'own'),
    [
        ('Tenant', b'ann'),
        ('Expect-Instance', b'e0'),
        ('Deadline-Ms', b'1500'),
    ],
)
def test_system_headers_appear_once_with_the_value_of_the_box(
    name: str, own: bytes
) -> None:
    headers = forwarded((name, '7'), (name.lower(), '8'))
    texts = [text for one, text in headers if one.lower() == name.lower().encode()]
    assert texts == [own]


def test_the_source_of_a_cached_part_replaces_what_a_caller_names() -> None:
    call = read_call('POST', '/a/b', [('Host', 'h'), ('Kv-Fetch', '10.0.0.1:80')])
    headers = forward_headers(call, replace(FORWARDING, cache_source=engine('e1')))
    assert [text for one, text in headers if one.lower() == b'kv-fetch'] == [b'e1:1']


@pytest.mark.parametrize(
    ('hint', 'expected'),
    [
        (None, 900),
        ('130', 130),
        (' 130 ', 130),
        ('0', 0),
        ('2000', 900),
        ('-5', 900),
        ('inf', 900),
        ('many', 900),
        ('', 900),
    ],
)
def test_the_callers_estimate_sets_the_expected_output(
    hint: str | None,
    expected: int,
) -> None:
    given = [('Token-Count', '500,900'), ('Prompt-Prefix', 'a:400,b:100')]
    if hint is not None:
        given.append(('Length-Hint', hint))
    call = read_call('POST', '/a/b', given)
    assert call.prompt is not None
    assert call.prompt.expected_output_tokens == expected


@pytest.mark.parametrize(
    'header',
    [
        ('Model', 'm'),
        ('Token-Count', '10,2'),
        ('Prompt-Prefix', 'a:4,b:6'),
        ('Length-Hint', '20'),
        ('Attempt-Id', 'r1'),
        ('X-Hold', 'own of the caller'),
    ],
)
def test_request_headers_of_a_caller_are_forwarded_unchanged(
    header: tuple[str, str],
) -> None:
    name, text = header
    assert (name.encode(), text.encode()) in forwarded(header)


def test_refusals_are_distinct() -> None:
    # Enum members with equal answers become aliases, and logs name the wrong one.
    assert len(Refusal.__members__) == len(list(Refusal))


@pytest.mark.parametrize(
    ('status', 'given', 'pause'),
    [
        (503, '3', 3),
        (503, ' 0.25 ', 0.25),
        (429, '2', 2),
        (503, '0', 0),
        (503, '-1', 0),
        (503, '', 0),
        (503, 'soon', 0),
        (503, 'nan', 0),
        (503, 'inf', MAX_RETRY_AFTER_SECONDS),
        (503, '9' * 400, MAX_RETRY_AFTER_SECONDS),
        (503, 'Thu, 01 Jan 1970 00:00:00 GMT', 0),
        (503, 'Fri, 31 Dec 9999 23:59:59 GMT', MAX_RETRY_AFTER_SECONDS),
        (500, '3', 0),
        (200, '3', 0),
        (421, '3', 0),
    ],
)
def test_the_backoff_of_a_rejected_request_is_read(
    status: int,
    given: str,
    pause: float,
) -> None:
    mark = read_answer(status, [(b'retry-after', given.encode())])
    assert mark.backoff == pause


@pytest.mark.parametrize(
    ('status', 'headers', 'leaving'),
    [
        (200, [(b'Server-Leaving', b'1')], True),
        (503, [(b'server-leaving', b' 1 ')], True),
        (500, [(b'SERVER-LEAVING', b'1')], True),
        (200, [(b'Server-Leaving', b'0')], False),
        (200, [], False),
        # The answer comes from another upstream at this address.
        (421, [(b'Server-Leaving', b'1')], False),
    ],
)
def test_an_upstream_announces_its_drain_in_its_answers(
    status: int,
    headers: list[tuple[bytes, bytes]],
    leaving: bool,
) -> None:
    assert read_answer(status, headers).leaving == leaving
