"""End-to-end demo on loopback: ``make demo``.

Starts three control boxes, four routers, two model engines and a plain
service as separate processes, defines two client accounts through the
command line, sends requests as callers do, and checks every response.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any

from openai import AsyncOpenAI
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from hitchdeck_core.hashing import token_hash
from standins.engine import expected_tokens
from standins.fleet import Fleet, FleetSize, running_fleet
from standins.records import read_records

ACCOUNTS = {'rosters': 'key-of-rosters', 'counter': 'key-of-counter'}

_REQUESTS = 24
_TOKENS = 12
_READY_SECONDS = 20.0


@dataclass
class Findings:
    """Requests served, and errors found.

    ``widest_gap`` and ``bound`` are in cost units.
    """

    served: Counter[tuple[str, str]] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    widest_gap: float = 0.0
    bound: float = 0.0


def resources(fleet: Fleet) -> str:
    """Return the demo's resource file."""
    lines = []
    for name, key in ACCOUNTS.items():
        lines += ['[[account]]', f'name = "{name}"']
        lines += [f'key_hashes = ["{token_hash(key)}"]', 'labels = {tier = "member"}']
    for member in fleet.engines:
        lines += ['[[upstream]]', f'name = "{member.name}"', 'slots = 4']
        lines += [f'address = "127.0.0.1:{member.port}"', 'labels = {kind = "engine"}']
    for member in fleet.services:
        lines += ['[[upstream]]', f'name = "{member.name}"', 'slots = 4']
        lines += [f'address = "127.0.0.1:{member.port}"', 'labels = {kind = "shifts"}']
    lines += ['[[pool]]', 'name = "chat"', 'model = "roster"', 'serves = "model"']
    lines += ['upstreams = "kind=engine"']
    lines += ['[[pool]]', 'name = "shifts"', 'serves = "service"']
    lines += ['upstreams = "kind=shifts"', 'repeatable = false']
    lines += ['[[session]]', 'name = "friday"', 'account = "rosters"']
    lines += ['pool = "chat"']
    lines += ['[[rule]]', 'name = "members-reach-all"', 'effect = "access"']
    lines += ['accounts = "tier in (member)"']
    lines += ['[[rule]]', 'name = "confirmations-now"', 'effect = "urgent"']
    lines += ['requests = "work in (confirmation, lookup)"']
    return '\n'.join(lines)


async def wait_until_ready(fleet: Fleet) -> None:
    """Return once every router is ready to accept requests."""
    client = AsyncHTTPClient()
    deadline = time.monotonic() + _READY_SECONDS
    for router in fleet.routers:
        while True:
            reply = await client.fetch(
                f'http://127.0.0.1:{router.port}/healthz',
                raise_error=False,
            )
            if reply.code == 200:
                break
            assert time.monotonic() < deadline, f'{router.name} did not become ready'
            await asyncio.sleep(0.05)


async def fetch_addresses(router_port: int, key: str) -> list[str]:
    """Fetch the router addresses that an account should use, as callers do."""
    reply = await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://127.0.0.1:{router_port}/v1/addresses',
            headers={'Authorization': f'Bearer {key}'},
        ),
    )
    return list(json.loads(reply.body)['addresses'])


@cache
def client_of(address: str, account: str) -> AsyncOpenAI:
    """Return an official OpenAI client whose base URL is one router."""
    return AsyncOpenAI(
        base_url=f'http://{address}/v1',
        api_key=ACCOUNTS[account],
        max_retries=0,
    )


async def chat(
    address: str,
    account: str,
    number: int,
    findings: Findings,
) -> None:
    """Send one streamed chat request and check its response."""
    client = client_of(address, account)
    prompt = f'draft {number} for {account}'
    stream = await client.chat.completions.create(
        model='roster',
        messages=[{'role': 'user', 'content': prompt}],
        max_tokens=_TOKENS,
        stream=True,
    )
    parts = [
        chunk.choices[0].delta.content or '' async for chunk in stream if chunk.choices
    ]
    text = ''.join(parts)
    expected = ''.join(expected_tokens(prompt, _TOKENS))
    if text != expected:
        findings.wrong.append(f'{account}: got {text!r}, not {expected!r}')
    findings.served[account, 'drafts'] += 1


async def confirm(address: str, account: str, key: str) -> dict[str, Any]:
    """Send one service call with an idempotency key."""
    reply = await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/v1/services/shifts/confirm',
            method='POST',
            body=json.dumps({'shift': 7}),
            headers={
                'Authorization': f'Bearer {ACCOUNTS[account]}',
                'Idempotency-Key': key,
                'Hitchdeck-Labels': 'work=confirmation',
            },
        ),
    )
    return {'body': json.loads(reply.body), 'ran': reply.headers['Hitchdeck-Ran']}


async def confirm_twice(fleet: Fleet, addresses: list[str], findings: Findings) -> None:
    """Confirm one shift through two routers; it must run exactly once."""
    key = f'{int(time.time())}-shift-7'
    first = await confirm(addresses[0], 'rosters', key)
    second = await confirm(addresses[-1], 'rosters', key)
    if first != second:
        findings.wrong.append(f'resend returned {second}, not {first}')
    records = read_records(fleet.folder / 'service-0.records')
    runs = [one['event'] for one in records].count('run')
    if runs != 1:
        findings.wrong.append(f'confirmation ran {runs} times')
    findings.served['rosters', 'confirmations'] += runs


async def watch_gap(fleet: Fleet, findings: Findings) -> None:
    """Record the widest fairness gap that the schedulers report."""
    client = AsyncHTTPClient()
    while True:
        for router in fleet.routers:
            reply = await client.fetch(f'http://127.0.0.1:{router.port}/metrics')
            for line in reply.body.decode().splitlines():
                if line.startswith('hitchdeck_shard_service_gap{shard="chat'):
                    gap = float(line.rpartition(' ')[2])
                    findings.widest_gap = max(findings.widest_gap, gap)
                if line.startswith('hitchdeck_shard_gap_bound{shard="chat'):
                    bound = float(line.rpartition(' ')[2])
                    findings.bound = max(findings.bound, bound)
        await asyncio.sleep(0.1)


async def send_requests(fleet: Fleet) -> Findings:
    """Send all requests of the demo and return the findings."""
    findings = Findings()
    await wait_until_ready(fleet)
    watching = asyncio.create_task(watch_gap(fleet, findings))
    work = []
    for account, key in ACCOUNTS.items():
        addresses = await fetch_addresses(fleet.routers[0].port, key)
        for number in range(_REQUESTS):
            address = addresses[number % len(addresses)]
            work.append(chat(address, account, number, findings))
    await asyncio.gather(*work)
    addresses = await fetch_addresses(
        fleet.routers[0].port,
        ACCOUNTS['rosters'],
    )
    await confirm_twice(fleet, addresses, findings)
    watching.cancel()
    return findings


def report(fleet: Fleet, findings: Findings, seconds: float) -> None:
    """Print what was served and what was wrong."""
    print(f'{"account":14}{"what":16}served')
    for (account, what), count in sorted(findings.served.items()):
        print(f'{account:14}{what:16}{count}')
    print(f'widest fairness gap  {findings.widest_gap:.0f} cost units')
    print(f'its bound            {findings.bound:.0f} cost units')
    print(f'seconds              {seconds:.1f}')
    print(f'logs and data        {fleet.folder}')
    for line in findings.wrong:
        print(f'WRONG: {line}')


def main() -> int:
    """Run the demo; return 1 if any check failed."""
    started_at = time.monotonic()
    folder = Path(tempfile.mkdtemp(prefix='hitchdeck-demo-'))
    with running_fleet(folder, FleetSize()) as fleet:
        path = folder / 'resources.toml'
        path.write_text(resources(fleet))
        print(fleet.hitchdeck('apply', str(path), '--wait').stdout, end='')
        findings = asyncio.run(send_requests(fleet))
        codes = fleet.stop()
    for name, code in codes.items():
        daemon = name.startswith(('control', 'router'))
        if daemon and code != 0:
            findings.wrong.append(f'{name} exited with code {code}')
    report(fleet, findings, time.monotonic() - started_at)
    return 1 if findings.wrong else 0


if __name__ == '__main__':
    sys.exit(main())
