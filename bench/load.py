"""Callers in closed loops, and what they saw.

Each account keeps a number of requests open.  Tokens are noted as they
arrive, with the cost that the fleet charges for them, so the service that
accounts got over time is measured from outside.
"""

import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from hitchdeck_core.ids import Address
from hitchdeck_router.dispatch.calls import CallRequest, UpstreamCall, open_call
from hitchdeck_router.dispatch.sse import DONE, EventReader
from hitchdeck_router.errors import UpstreamError
from hitchdeck_router.scheduling.costs import OUTPUT_TOKEN_COST, prompt_cost

_OK = 200
_SHORTEST_PAUSE = 0.1


@dataclass(frozen=True)
class Profile:
    """One account's behaviour; ``urgent_share`` of its requests are lookups."""

    account: str
    key: str
    addresses: tuple[str, ...]
    concurrency: int
    tokens: tuple[int, int] = (5, 20)
    urgent_share: float = 0.0
    until: float = float('inf')
    start: float = 0.0


@dataclass
class Sample:
    """One request as its caller saw it; times are ``time.monotonic``."""

    account: str
    urgent: bool
    sent_at: float
    first_at: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    status: int = 0
    ran: str = ''


@dataclass
class Seen:
    """Everything that the callers saw."""

    samples: list[Sample] = field(default_factory=list)
    service: list[tuple[float, str, float]] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)


async def run_profiles(profiles: list[Profile], seconds: float, seed: int) -> Seen:
    """Run every profile for a while."""
    seen = Seen()
    started_at = time.monotonic()
    loops = [
        _loop(
            profile, seen, started_at, seconds, random.Random(f'{seed}-{index}-{turn}')
        )
        for index, profile in enumerate(profiles)
        for turn in range(profile.concurrency)
    ]
    await asyncio.gather(*loops)
    return seen


async def _loop(
    profile: Profile,
    seen: Seen,
    started_at: float,
    seconds: float,
    choice: random.Random,
) -> None:
    await asyncio.sleep(profile.start + choice.random() / 2)
    end = started_at + min(seconds, profile.until)
    while time.monotonic() < end:
        sample = await _one(profile, seen, choice, end)
        seen.samples.append(sample)
        seen.statuses[f'{sample.status} {sample.ran}'] += 1
        if sample.status != _OK:
            await asyncio.sleep(_SHORTEST_PAUSE)


async def _one(
    profile: Profile,
    seen: Seen,
    choice: random.Random,
    end: float,
) -> Sample:
    urgent = choice.random() < profile.urgent_share
    sample = Sample(profile.account, urgent, time.monotonic())
    body = {
        'model': 'bench',
        'stream': True,
        'max_tokens': choice.randint(*profile.tokens),
        'messages': [{'role': 'user', 'content': f'{choice.random()}'}],
    }
    headers = {
        'Authorization': f'Bearer {profile.key}',
        'Content-Type': 'application/json',
        'Hitchdeck-Labels': 'work=lookup' if urgent else 'work=draft',
    }
    request = CallRequest(
        'POST',
        '/v1/chat/completions',
        headers,
        json.dumps(body).encode(),
    )
    address = Address(choice.choice(profile.addresses))
    try:
        async with asyncio.timeout_at(_loop_time(end + 1)):
            await _call(address, request, sample, seen)
    except UpstreamError as error:
        sample.ran = type(error).__name__
    except TimeoutError:
        sample.ran = 'run-over'
    sample.ended_at = time.monotonic()
    return sample


async def _call(
    address: Address,
    request: CallRequest,
    sample: Sample,
    seen: Seen,
) -> None:
    call = await open_call(address, request)
    try:
        head = await call.head()
        sample.status = head.status
        sample.ran = head.headers.get('Hitchdeck-Ran', '')
        if head.status != _OK:
            return
        await _read(call, sample, seen, len(request.body))
    finally:
        call.close()


async def _read(call: UpstreamCall, sample: Sample, seen: Seen, size: int) -> None:
    reader = EventReader()
    async for piece in call.chunks():
        for event in reader.feed(piece):
            _note(event, sample, seen, size)


def _note(event: bytes, sample: Sample, seen: Seen, body_size: int) -> None:
    if event == DONE:
        sample.ran = 'whole'
        return
    if b'"content"' not in event:
        return
    now = time.monotonic()
    cost = OUTPUT_TOKEN_COST
    if not sample.tokens:
        sample.first_at = now
        cost += prompt_cost(body_size)
    sample.tokens += 1
    seen.service.append((now, sample.account, cost))


def _loop_time(monotonic: float) -> float:
    return asyncio.get_running_loop().time() + monotonic - time.monotonic()
