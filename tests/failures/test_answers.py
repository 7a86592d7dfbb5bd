"""Each caller gets its own complete answer, or an accurate error on what ran."""

import asyncio
import json
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest
from openai import AsyncOpenAI, AuthenticationError

from standins.fleet import Fleet, FleetSize, running_fleet
from tests.common import callers
from tests.common.history import (
    Answer,
    check_at_most_once,
    check_no_new_work,
    check_own_answers,
)

SERVICE = '/v1/services/plain/confirm'
CHAT = '/v1/chat/completions'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Return a fleet that the tests of this module share."""
    folder = tmp_path_factory.mktemp('fleet')
    size = FleetSize(routers=3, engines=2, gap=0.02)
    with running_fleet(folder, size) as running:
        path = callers.write_resources(running)
        running.hitchdeck('apply', str(path), '--wait')
        asyncio.run(callers.until_ready(running))
        yield running


@pytest.fixture(autouse=True)
def no_faults(fleet: Fleet) -> Iterator[None]:
    """Clear the engines' faults after each test."""
    yield
    for engine in fleet.engines:
        asyncio.run(callers.set_faults(engine))


def client_of(fleet: Fleet, key: str = callers.KEYS['bob']) -> AsyncOpenAI:
    """Return an official OpenAI client that calls a router of the fleet."""
    url = f'http://127.0.0.1:{fleet.routers[0].port}/v1'
    return AsyncOpenAI(base_url=url, api_key=key, max_retries=0)


async def test_official_client_works_unchanged(fleet: Fleet) -> None:
    client = client_of(fleet)
    whole = await client.chat.completions.create(
        model='m',
        messages=[{'role': 'user', 'content': 'one'}],
        max_tokens=5,
    )
    assert whole.choices[0].message.content == callers.expected_text('one', 5)
    assert whole.usage is not None
    assert whole.usage.completion_tokens == 5
    stream = await client.chat.completions.create(
        model='m',
        messages=[{'role': 'user', 'content': 'two'}],
        max_tokens=5,
        stream=True,
        stream_options={'include_usage': True},
    )
    chunks = [chunk async for chunk in stream]
    text = ''.join(
        chunk.choices[0].delta.content or '' for chunk in chunks if chunk.choices
    )
    assert text == callers.expected_text('two', 5)
    assert len({chunk.id for chunk in chunks}) == 1
    assert chunks[-1].usage is not None


async def _logged(log: Path, request: str) -> dict[str, object]:
    # The line is logged after the answer's last byte, so it may be missing yet.
    async with asyncio.timeout(10):
        while True:
            # The last element is empty, or a line that is still being written.
            for line in log.read_text().split('\n')[:-1]:
                fields: dict[str, object] = json.loads(line)
                if fields.get('request') == request:
                    return fields
            await asyncio.sleep(0.02)


async def test_logs_name_request_account_and_upstream(fleet: Fleet) -> None:
    reply = await callers.chat(fleet.routers[2], 'logged')
    request = json.loads(reply.body)['id'].removeprefix('chatcmpl-')
    logged = await _logged(fleet.routers[2].log, request)
    assert logged['account'] == 'ann'
    assert str(logged['upstream']).startswith('engine-')
    assert logged['status'] == 200


async def test_official_client_sees_a_wrong_key(fleet: Fleet) -> None:
    with pytest.raises(AuthenticationError):
        await client_of(fleet, 'wrong').chat.completions.create(
            model='m',
            messages=[{'role': 'user', 'content': 'x'}],
        )


PIECE_BYTES = 50_000
MESSAGE = [{'role': 'user', 'content': 'x'}]


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'status'),
    [
        (CHAT, b'{', {}, 400),
        (CHAT, b'[]', {}, 400),
        (CHAT, {'model': 'm'}, {}, 400),
        (CHAT, {'model': 'm', 'messages': [1]}, {}, 400),
        (CHAT, {'model': 'm', 'messages': MESSAGE, 'max_tokens': -1}, {}, 400),
        (CHAT, {'model': 'unknown', 'messages': MESSAGE}, {}, 404),
        (CHAT, b'x' * 2_000_000, {}, 413),
        (CHAT, {'model': 'm', 'messages': MESSAGE}, {'key': 'wrong'}, 401),
        (
            CHAT,
            {'model': 'm', 'messages': MESSAGE},
            {'Hitchdeck_Deadline': 'soon'},
            400,
        ),
        (CHAT, {'model': 'm', 'messages': MESSAGE}, {'Hitchdeck_Labels': 'a b'}, 400),
        (CHAT, {'model': 'm', 'messages': MESSAGE}, {'Hitchdeck_Session': 'no'}, 404),
        (SERVICE, {}, {}, 400),
        (SERVICE, {}, {'Idempotency_Key': 'undated'}, 400),
        (SERVICE, {}, {'Idempotency_Key': '1000000000-old'}, 410),
        (SERVICE, {}, {'key': callers.KEYS['bob']}, 403),
        ('/v1/services/nowhere/x', {}, {}, 404),
        ('/v1/nothing', {}, {}, 404),
    ],
)
async def test_bad_input_is_refused_and_reaches_nothing(
    fleet: Fleet,
    path: str,
    body: object,
    headers: dict[str, str],
    status: int,
) -> None:
    before = [callers.begun_at(fleet, one) for one in fleet.engines]
    runs = callers.runs_of(fleet)
    reply = await callers.request(fleet.routers[0], path, body, **headers)
    assert (reply.status, reply.ran) == (status, 'not-run')
    assert json.loads(reply.body)['error']['message']
    assert [callers.begun_at(fleet, one) for one in fleet.engines] == before
    assert callers.runs_of(fleet) == runs


def send_in_parts(port: int, body_bytes: int) -> bytes:
    """Send a large body in parts without reading; return the response."""
    key = callers.KEYS['ann']
    head = f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n'
    with socket.create_connection(('127.0.0.1', port), timeout=20) as connection:
        connection.sendall(f'{head}Content-Length: {body_bytes}\r\n\r\n'.encode())
        for _ in range(body_bytes // PIECE_BYTES):
            time.sleep(0.01)
            connection.sendall(b'x' * PIECE_BYTES)
        return connection.recv(100_000)


async def test_a_caller_that_is_refused_while_it_sends_gets_its_answer(
    fleet: Fleet,
) -> None:
    # Guards against a close while bytes of the body are unread: the kernel resets
    # the connection, and a caller that is still sending never reads the answer.
    port = fleet.routers[0].port
    answer = await asyncio.to_thread(send_in_parts, port, 40 * PIECE_BYTES)
    assert answer.startswith(b'HTTP/1.1 413')
    assert b'too-large' in answer


def send_in_chunks(port: int, pieces: int) -> bytes:
    """Send a large body in chunks, without its length; return the response."""
    key = callers.KEYS['ann']
    head = f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n'
    with socket.create_connection(('127.0.0.1', port), timeout=20) as connection:
        connection.sendall(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for _ in range(pieces):
            connection.sendall(b'%x\r\n%s\r\n' % (PIECE_BYTES, b'x' * PIECE_BYTES))
        connection.sendall(b'0\r\n\r\n')
        return connection.recv(100_000)


async def test_a_body_that_grows_too_large_is_answered_at_its_end(fleet: Fleet) -> None:
    # No answer has been sent before the end, so the connection must stay open
    # however large the body grows.
    answer = await asyncio.to_thread(send_in_chunks, fleet.routers[0].port, 400)
    assert answer.startswith(b'HTTP/1.1 413')


async def test_garbage_between_processes_harms_no_request(fleet: Fleet) -> None:
    text = (fleet.folder / 'router-0.toml').read_text()
    wire = int(text.partition('wire_listen = "127.0.0.1:')[2].partition('"')[0])
    for garbage in (b'\x00' * 100, b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff'):
        with socket.create_connection(('127.0.0.1', wire)) as connection:
            connection.sendall(garbage)
    reply = await callers.chat(fleet.routers[0], 'after garbage')
    assert callers.text_of(reply) == callers.expected_text('after garbage')


FAULTS = [
    {'die_after': 3},
    {'end_early': 3},
    {'no_terminator': True},
    {'foreign_id': 'other'},
]


@pytest.mark.parametrize('fault', FAULTS)
async def test_broken_stream_is_taken_up_by_another_engine(
    fleet: Fleet,
    fault: dict[str, object],
) -> None:
    await callers.set_faults(fleet.engines[0], **fault)
    prompts = [f'{fault} {number}' for number in range(4)]
    replies = await asyncio.gather(
        *(callers.chat(fleet.routers[0], prompt) for prompt in prompts),
    )
    pairs = [
        (callers.expected_text(prompt), callers.text_of(reply))
        for prompt, reply in zip(prompts, replies, strict=True)
    ]
    assert not check_own_answers(pairs)


async def test_the_error_without_any_engine_is_accurate(fleet: Fleet) -> None:
    for engine in fleet.engines:
        await callers.set_faults(engine, die_after=0)
    reply = await callers.chat(fleet.routers[1], 'nobody')
    assert (reply.status, reply.ran) == (502, 'unknown')


@pytest.mark.parametrize('stream', [False, True])
async def test_caller_who_leaves_frees_the_slot(fleet: Fleet, stream: bool) -> None:
    router = fleet.routers[0]
    body = json.dumps(
        {'model': 'm', 'stream': stream, 'max_tokens': 500, 'messages': MESSAGE},
    ).encode()
    head = (
        f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n'
        f'Authorization: Bearer {callers.KEYS["bob"]}\r\n\r\n'
    ).encode()
    writers = []
    for _ in range(8):
        _, writer = await asyncio.open_connection('127.0.0.1', router.port)
        writer.write(head + body)
        writers.append(writer)
    await asyncio.sleep(0.5)
    for writer in writers:
        writer.close()
    reply = await asyncio.wait_for(callers.chat(router, 'next'), 5)
    assert callers.text_of(reply) == callers.expected_text('next')


async def test_one_key_through_every_router_runs_once(fleet: Fleet) -> None:
    keys = [callers.fresh_key(f'shift-{number}') for number in range(5)]
    sent = [(key, router) for key in keys for router in fleet.routers * 2]
    replies = await asyncio.gather(
        *(callers.confirm(router, key) for key, router in sent),
    )
    answers = [
        Answer(key, reply.ran, reply.body.decode())
        for (key, _), reply in zip(sent, replies, strict=True)
    ]
    runs = [key for key in callers.runs_of(fleet) if key in keys]
    assert not check_at_most_once(answers, runs)
    assert sorted(runs) == sorted(keys)
    other = await callers.confirm(fleet.routers[1], keys[0], shift=2)
    assert (other.status, other.ran) == (409, 'not-run')


async def test_session_stays_where_it_was_and_moves_with_its_cache(
    fleet: Fleet,
) -> None:
    async def turn() -> int:
        before = [len(callers.begun_at(fleet, one)) for one in fleet.engines]
        await callers.chat(fleet.routers[0], 'turn', Hitchdeck_Session='long')
        after = [len(callers.begun_at(fleet, one)) for one in fleet.engines]
        return [new - old for new, old in zip(after, before, strict=True)].index(1)

    places = [await turn() for _ in range(4)]
    assert len(set(places)) == 1
    home = fleet.engines[places[0]]
    fleet.hitchdeck('drain', 'upstream', home.name)
    try:
        assert await turn() != places[0]
    finally:
        fleet.hitchdeck('undrain', 'upstream', home.name)
    other = fleet.engines[1 - places[0]]
    records = (fleet.folder / f'{other.name}.records').read_text()
    assert '"cache-import"' in records


async def test_drained_upstream_gets_no_new_work(fleet: Fleet) -> None:
    stop = asyncio.Event()

    async def keep_asking(number: int) -> None:
        router = fleet.routers[number % 3]
        while not stop.is_set():
            reply = await callers.chat(router, f'caller {number}')
            assert callers.text_of(reply) == callers.expected_text(f'caller {number}')

    asking = [asyncio.create_task(keep_asking(number)) for number in range(12)]
    await asyncio.sleep(1)
    left_at = time.monotonic()
    await asyncio.to_thread(fleet.hitchdeck, 'drain', 'upstream', 'engine-0')
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*asking)
    await asyncio.to_thread(fleet.hitchdeck, 'undrain', 'upstream', 'engine-0')
    begun = callers.begun_at(fleet, fleet.engines[0])
    assert any(at < left_at for at in begun)
    assert not check_no_new_work(begun, left_at, 3.0)
    assert callers.begun_at(fleet, fleet.engines[1])[-1] > left_at + 3


async def test_address_of_a_drained_box_is_not_returned(fleet: Fleet) -> None:
    drained = f'127.0.0.1:{fleet.routers[1].port}'

    async def handed_out() -> list[str]:
        reply = await callers.request(
            fleet.routers[0],
            '/v1/addresses',
            method='GET',
        )
        return list(json.loads(reply.body)['addresses'])

    assert drained in await handed_out()
    await asyncio.to_thread(fleet.hitchdeck, 'drain', 'box', 'router-1')
    await _until_absent(handed_out, drained)
    reply = await callers.chat(fleet.routers[1], 'old address')
    assert callers.text_of(reply) == callers.expected_text('old address')
    await asyncio.to_thread(fleet.hitchdeck, 'undrain', 'box', 'router-1')


async def _until_absent(
    handed_out: Callable[[], Awaitable[list[str]]],
    drained: str,
) -> None:
    for _ in range(200):
        if drained not in await handed_out():
            return
        await asyncio.sleep(0.05)
    raise AssertionError('the address of the drained box is still returned')


@pytest.mark.parametrize(
    ('arguments', 'code', 'word'),
    [
        (('put', 'account', 'Bad Name'), 2, 'name'),
        (('put', 'rule', 'r', '--effect=leaving'), 2, 'must select'),
        (('put', 'pool', 'p', '--upstreams=a in b'), 2, 'selector'),
        (('put', 'account', 'ann', '--based_on=0'), 3, 'version-conflict'),
        (('delete', 'account', 'nobody'), 3, 'not-found'),
        (('--token=wrong', 'status'), 5, 'token'),
        (('--control=nowhere', 'status'), 2, 'nowhere'),
        (('--seconds=0.5', 'wait', '999999'), 4, 'not in force'),
        (('apply', 'missing.toml'), 2, 'missing.toml'),
    ],
)
def test_operator_errors_print_one_clear_line(
    fleet: Fleet,
    arguments: tuple[str, ...],
    code: int,
    word: str,
) -> None:
    ended = fleet.hitchdeck(*arguments, check=False)
    assert ended.returncode == code, ended.stderr
    assert word in ended.stderr


def test_racing_operators_have_one_winner(fleet: Fleet) -> None:
    same = ('--operator=race', '--number=1', 'put', 'account', 'race')
    first = fleet.hitchdeck(*same, '--weight=2')
    again = fleet.hitchdeck(*same, '--weight=2')
    assert first.stdout == again.stdout
    other = fleet.hitchdeck(*same, '--weight=3', check=False)
    assert other.returncode == 3
    assert 'number-reused' in other.stderr
    shown = json.loads(fleet.hitchdeck('get', 'account', 'race', '--json').stdout)
    assert shown[0]['weight'] == 2


def test_what_an_operator_sees(fleet: Fleet, tmp_path: Path) -> None:
    status = json.loads(fleet.hitchdeck('status', '--json').stdout)
    assert len(status['routers']) == 3
    assert {one['shard'] for one in status['shards']} == {'chat/0', 'plain/0'}
    assert 'WAIT_MS' in fleet.hitchdeck('top').stdout
    assert 'LEADER' in fleet.hitchdeck('control', 'members').stdout


@pytest.mark.parametrize('stream', [False, True])
async def test_a_rejected_rest_is_no_part_of_the_completion(
    fleet: Fleet, stream: bool
) -> None:
    # The body of the rejection was written after the events of the first engine.
    for engine in fleet.engines:
        await callers.set_faults(engine, die_after=2, reject_rest=413)
    body = {'model': 'm', 'stream': stream, 'max_tokens': 5, 'messages': MESSAGE}
    reply = await callers.request(fleet.routers[0], CHAT, body)
    assert b'no rest' not in reply.body
    if not stream:
        assert (reply.status, reply.ran) == (502, 'unknown')
        return
    *_, last, end = reply.body.split(b'\n\n')
    assert (reply.status, end) == (200, b'')
    assert json.loads(last.removeprefix(b'data: '))['error']['ran'] == 'unknown'
