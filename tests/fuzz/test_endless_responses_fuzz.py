"""Whatever an upstream sends without an end, a bounded part of it is read and held."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_edge.dispatch.response_parser import MAX_UNPARSED_BYTES
from hitchdeck_edge.dispatch.response_sizes import ResponseLimits
from hitchdeck_edge.dispatch.upstream_connection import FRAMING_FACTOR, Connection
from hitchdeck_edge.errors import IncompleteResponseError
from hitchdeck_edge.serving.budgets import ByteBudget
from tests.edge.test_upstream_responses import connection_with_request

LIMIT_BYTES = 100_000
READ_BYTES = 20_000
BOUND_BYTES = FRAMING_FACTOR * LIMIT_BYTES + MAX_UNPARSED_BYTES + 2 * READ_BYTES
"""What may be read before a response is given up: the limit of its body with framing,
that of what is not parsed yet, and what arrives in two turns of the event loop."""

BEGINNINGS = (
    b'',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\n\r\n',
    b'HTTP/1.1 500 Oops\r\nContent-Length: 999999999\r\n\r\n',
    b'HTTP/1.1 404 None\r\nTransfer-Encoding: chunked\r\n\r\n',
)
FRAGMENTS = (
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'A: b\r\n',
    b'\r\n',
    b'5\r\nabcde\r\n',
    b'5;x=y\r\nabcde\r\n',
    b'0\r\n',
    b'a' * 500,
    b'\0',
)


async def read(connection: Connection, limits: ResponseLimits) -> None:
    held = limits.open('')
    try:
        await connection.read_head()
        await connection.read_body(held.check_size)
    finally:
        held.close()


async def send_without_end(begin: bytes, rest: bytes) -> int:
    """Send until the reader has ended; return how many bytes that took."""
    limits = ResponseLimits(LIMIT_BYTES, ByteBudget(2 * LIMIT_BYTES))
    connection = connection_with_request()
    reading = asyncio.create_task(read(connection, limits))
    piece = rest * (READ_BYTES // len(rest))
    connection.data_received(begin + piece)
    sent = len(begin + piece)
    while sent <= BOUND_BYTES and not reading.done():
        connection.data_received(piece)
        sent += len(piece)
        await asyncio.sleep(0)
    reading.cancel()
    try:
        await reading
    except IncompleteResponseError:
        assert not connection.parser.reusable
    except asyncio.CancelledError:
        return sent
    assert not limits.budget.held
    return sent


@given(
    begin=st.sampled_from(BEGINNINGS),
    rest=st.lists(st.sampled_from(FRAGMENTS), min_size=1, max_size=4),
)
def test_a_bounded_part_is_read_of_what_has_no_end(
    begin: bytes, rest: list[bytes]
) -> None:
    assert asyncio.run(send_without_end(begin, b''.join(rest))) <= BOUND_BYTES
