"""What a caller's parser reads of a stream, whatever its later upstreams answer."""

import asyncio
import re
from collections.abc import Iterator
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_edge.dispatch.response_parser import Framing
from standins.platform_site import Site, document, route, running_site
from standins.worker_bodies import encoded_stream, events, framing_header
from standins.worker_faults import Fault
from tests.common.asking import choose_by_name, of_pool
from tests.common.raw_callers import Received, caller_request, receive

EVENTS = 4
RETRIES = 1000
STREAM = b''.join(events('', EVENTS))
STREAM_TYPE = 'text/event-stream'
_ID = re.compile(rb'id: (\d+)\n')


@dataclass(frozen=True)
class Answer:
    """What a later upstream answers.

    ``first`` is the id of its first event, and ``cut`` the number of bytes of the
    response that it sends, or ``None`` for all.
    """

    status: int
    content_type: str
    framing: Framing
    sealed: bool
    not_run: bool
    first: int
    cut: int | None

    def encoded(self) -> bytes:
        """Return the bytes that it sends."""
        body = encoded_stream(events(str(self.first - 1), EVENTS), self.framing)
        seal = 'Server-Seal: any\r\n' if self.sealed else ''
        not_run = 'Not-Executed: 1\r\n' if self.not_run else ''
        head = (
            f'HTTP/1.1 {self.status} Any\r\nAttempt-Id: ATTEMPT\r\n{seal}{not_run}'
            f'Content-Type: {self.content_type}\r\n'
            f'{framing_header(self.framing, len(body))}\r\n'
        )
        return (head.encode() + body)[: self.cut]


ANSWERS = st.builds(
    Answer,
    status=st.one_of(st.just(200), st.integers(100, 599)),
    content_type=st.sampled_from((STREAM_TYPE, 'text/plain')),
    framing=st.sampled_from(Framing),
    sealed=st.booleans(),
    not_run=st.booleans(),
    first=st.integers(1, EVENTS + 1),
    cut=st.one_of(st.none(), st.integers(0, 250)),
)


@pytest.fixture(scope='module')
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner whose event loop all examples share."""
    with asyncio.Runner() as running:
        yield running


@pytest.fixture(scope='module')
def site(
    runner: asyncio.Runner, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Site]:
    """Return a site at which a stream may go to three engines in turn."""
    context = running_site(tmp_path_factory.mktemp('site'))
    running = runner.run(context.__aenter__())
    runner.run(prepare(running))
    yield running
    runner.run(context.__aexit__(None, None, None))


async def prepare(site: Site) -> None:
    await site.start_worker('llm-z', 'llm')
    tried = route('stream', '/s/', 'stream', resumable=True, service='llm')
    limited = {**tried, 'maxAttempts': 3, 'timeoutMs': 1000}
    await site.publish(document(2, routes=[limited]))
    await site.settle(2)
    site.boxes[0].admission.dispatcher.budget.share = RETRIES
    choose_by_name(site.boxes[0])


async def ask(site: Site, begun: int, answers: list[Answer]) -> Received:
    """Have a stream begun, cut after some events, and answered by two others."""
    first, *later = of_pool(site, 'llm')
    first.misbehave(Fault.cut)
    first.events, first.cut_at = EVENTS, begun
    for worker, answer in zip(later, answers, strict=True):
        worker.misbehave(Fault.scripted)
        worker.script = answer.encoded()
    headers = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
    return await receive(
        site.boxes[0].settings.listen, caller_request('/s/', 'r1', **headers)
    )


def may_end(answer: Answer) -> bool:
    """Tell whether an answer is an upstream's word that the stream ends with it."""
    return answer.status == 200 and answer.sealed and answer.content_type == STREAM_TYPE


@given(begun=st.integers(0, EVENTS), answers=st.lists(ANSWERS, min_size=2, max_size=2))
def test_a_caller_reads_one_head_and_rising_whole_events(
    runner: asyncio.Runner, site: Site, begun: int, answers: list[Answer]
) -> None:
    # The head of a later answer was written among the events, or ended the stream.
    received = runner.run(ask(site, begun, answers))
    assert received.status == 200
    ids = [int(found) for found in _ID.findall(received.body)]
    assert ids == sorted(set(ids))
    assert received.body == b''.join(
        event for number in ids for event in events(str(number - 1), number)
    )
    if received.complete:
        assert any(may_end(answer) for answer in answers)
        assert ids[begun:] or any(answer.first > EVENTS for answer in answers)
