"""Requests of callers, who resume streams that are cut off."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tornado.httpclient import HTTPRequest

from soak.promises import Answer, complete_events
from standins.platform_site import HOST, KEY

RESUMABLE = '/s/'
"""Path of the route whose streams may be resumed."""

TIMEOUT_SECONDS = 5

Fetch = Callable[[HTTPRequest], Awaitable[tuple[int, str]]]


@dataclass(frozen=True, slots=True)
class Request:
    """A request; ``resumed`` and ``last_event`` are set if it resumes a stream.

    ``part`` is a part of its prompt that other requests have too.
    """

    attempt: str
    path: str
    body: str
    resumed: str = ''
    last_event: str = ''
    part: str = 'x'

    def headers(self) -> dict[str, str]:
        """Return the headers of the request."""
        headers = {
            'Host': HOST,
            'Attempt-Id': self.attempt,
            'Deadline-Ms': '2000',
            'Authorization': f'Token {KEY}',
        }
        if self.path in {RESUMABLE, '/once/'}:
            prompt = f'{self.part}:100,{self.attempt}:100'
            model = {'Model': 'm', 'Token-Count': '200,20', 'Prompt-Prefix': prompt}
            headers.update(model)
        if self.resumed:
            headers |= {'Resumes': self.resumed, 'Last-Event-Id': self.last_event}
        return headers


async def send(fetch: Fetch, address: str, request: Request) -> Answer:
    """Send a request; the answer has what arrived, also if it was truncated."""
    received = bytearray()
    status, _ = await fetch(
        HTTPRequest(
            f'http://{address}{request.path}',
            'POST',
            headers=request.headers(),
            body=request.body,
            request_timeout=TIMEOUT_SECONDS,
            streaming_callback=received.extend,
        ),
    )
    text = received.decode()
    return Answer(request.attempt, request.path, status, bool(status), text)


def resumption(answer: Answer, attempt: str) -> Request | None:
    """Return the request that resumes a stream, if it was cut off after an event."""
    last = complete_events(answer.body).count('id: ')
    if answer.path != RESUMABLE or answer.whole or not last:
        return None
    return Request(attempt, RESUMABLE, 'b', answer.attempt, str(last))
