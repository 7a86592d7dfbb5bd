"""Client requests to a fleet of real processes."""

import asyncio
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import cycle
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError

from hitchdeck_core.hashing import token_hash
from standins.engine import expected_tokens
from standins.fleet import Fleet, Member
from standins.records import read_records

KEYS = {'ann': 'key-of-ann', 'bob': 'key-of-bob'}

_TIMEOUT_SECONDS = 40.0


@dataclass(frozen=True)
class Reply:
    """The response that a caller received."""

    status: int
    ran: str
    body: bytes
    retry_after: str = ''


def write_resources(fleet: Fleet, versions: Sequence[str] = ('1',)) -> Path:
    """Write the resource file that the tests apply; return its path.

    ``versions`` are the software versions of the engines, in turn; empty for none.
    """
    lines = []
    of_engines = cycle(versions)
    for name, key in KEYS.items():
        lines += ['[[account]]', f'name = "{name}"']
        lines += [f'key_hashes = ["{token_hash(key)}"]']
    for kind, members in (('engine', fleet.engines), ('plain', fleet.services)):
        for member in members:
            lines += ['[[upstream]]', f'name = "{member.name}"', 'slots = 4']
            lines += [f'address = "127.0.0.1:{member.port}"']
            version = next(of_engines) if kind == 'engine' else ''
            labels = f'kind = "{kind}"'
            labels += f', software = "{version}"' if version else ''
            lines += [f'labels = {{{labels}}}']
            lines += ['checks_fences = true'] if kind == 'engine' else []
    lines += ['[[pool]]', 'name = "chat"', 'model = "m"', 'upstreams = "kind=engine"']
    lines += ['queue_limit = 50']
    lines += ['[[pool]]', 'name = "plain"', 'serves = "service"']
    lines += ['upstreams = "kind=plain"', 'repeatable = false']
    lines += ['[[session]]', 'name = "long"', 'account = "ann"', 'pool = "chat"']
    lines += ['[[rule]]', 'name = "chat"', 'effect = "access"', 'pools = "name=chat"']
    lines += ['[[rule]]', 'name = "plain"', 'effect = "access"']
    lines += ['accounts = "name=ann"', 'pools = "name=plain"']
    path = fleet.folder / 'resources.toml'
    path.write_text('\n'.join(lines))
    return path


async def request(
    router: Member,
    path: str,
    body: object = None,
    method: str = 'POST',
    key: str = KEYS['ann'],
    **headers: str,
) -> Reply:
    """Send one request; header names are given with underscores for dashes.

    A connection that is refused or breaks gives status 0.
    """
    outgoing = HTTPRequest(
        f'http://127.0.0.1:{router.port}{path}',
        method=method,
        body=_encoded(body) if method == 'POST' else None,
        headers={
            'Authorization': f'Bearer {key}',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        },
        request_timeout=_TIMEOUT_SECONDS,
    )
    client = AsyncHTTPClient(force_instance=True, max_clients=200)
    try:
        return _reply(await client.fetch(outgoing, raise_error=False))
    except (OSError, HTTPStreamClosedError):
        return Reply(0, 'lost', b'')


async def chat(
    router: Member,
    prompt: str,
    tokens: int = 8,
    *,
    before: Sequence[str] = (),
    **options: str,
) -> Reply:
    """Request a chat completion without streaming, after some system messages."""
    messages = [{'role': 'system', 'content': text} for text in before]
    body = {
        'model': 'm',
        'max_tokens': tokens,
        'messages': [*messages, {'role': 'user', 'content': prompt}],
    }
    return await request(router, '/v1/chat/completions', body, **options)


async def confirm(router: Member, key: str, shift: int = 1) -> Reply:
    """Send a call that must not run twice, with an idempotency key."""
    return await request(
        router,
        '/v1/services/plain/confirm',
        {'key': key, 'shift': shift},
        Idempotency_Key=key,
    )


def fresh_key(name: str) -> str:
    """Return an idempotency key issued now."""
    return f'{int(time.time())}-{name}'


def expected_text(prompt: str, tokens: int = 8) -> str:
    """Return the complete answer of an engine to a prompt."""
    return ''.join(expected_tokens(prompt, tokens))


def text_of(reply: Reply) -> str:
    """Return the text of a complete answer, or the error code."""
    content = json.loads(reply.body)
    if 'error' in content:
        return str(content['error']['code'])
    return str(content['choices'][0]['message']['content'])


def runs_of(fleet: Fleet) -> list[str]:
    """Return the idempotency keys that plain services ran, once for each run."""
    return [
        str(line['body'].get('key'))
        for service in fleet.services
        for line in read_records(fleet.folder / f'{service.name}.records')
        if line['event'] == 'run'
    ]


def begun_at(fleet: Fleet, engine: Member) -> list[float]:
    """Return the times in monotonic seconds at which an engine accepted requests."""
    records = read_records(fleet.folder / f'{engine.name}.records')
    return [float(line['at']) for line in records if line['event'] == 'taken']


async def set_faults(engine: Member, **faults: object) -> None:
    """Replace the injected faults of an engine."""
    await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://127.0.0.1:{engine.port}/faults',
            method='POST',
            body=json.dumps(faults),
        ),
    )


async def until_ready(fleet: Fleet) -> None:
    """Wait until every running router admits requests."""
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    for router in fleet.routers:
        while router.is_running():
            assert time.monotonic() < deadline, f'{router.name} does not admit requests'
            if (await request(router, '/healthz', method='GET')).status == 200:
                break
            await asyncio.sleep(0.05)


def _encoded(body: object) -> bytes:
    if isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def _reply(reply: HTTPResponse) -> Reply:
    ran = reply.headers.get('Hitchdeck-Ran', '')
    retry_after = reply.headers.get('Retry-After', '')
    return Reply(reply.code, ran, reply.body or b'', retry_after)
