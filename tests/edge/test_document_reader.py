"""A reader that takes known parts from the last document decodes as a new one does."""

import json
from typing import Any
from unittest.mock import Mock

import pytest

from hitchdeck_edge.errors import DocumentError
from hitchdeck_platform import documents
from hitchdeck_platform.documents import DocumentReader, read_document
from standins.platform_site import document, route

FIRST = document(1)


def changed_route(**changes: object) -> dict[str, object]:
    """Return a document whose first route is changed."""
    first = route('stream', '/s/', 'stream', **{'service': 'llm', **changes})
    return document(2, routes=[first, *FIRST['routes'][1:]])  # type: ignore[index]


@pytest.mark.parametrize(
    'second',
    [
        document(2),
        changed_route(goalMs=700),
        changed_route(allowedRegions=['north']),
        document(2, routes=[route('only', '/o/', 'idempotent', service='app')]),
        document(2, tenants=[{'name': 'ann', 'apiKeys': ['other']}]),
        document(2, services=[{'name': 'llm', 'maxConns': 9}, {'name': 'app'}]),
        document(2, tenants=[]),
    ],
)
def test_a_changed_document_is_decoded_as_by_a_new_reader(second: Any) -> None:
    """A part that is wrongly taken as known would keep a revoked key in force."""
    reader = DocumentReader()
    reader.read(json.dumps(FIRST).encode())
    body = json.dumps(second).encode()
    assert reader.read(body) == read_document(body)


@pytest.mark.parametrize(
    'invalid', [changed_route(noAuth=0), changed_route(priority=True)]
)
def test_a_part_that_only_equals_a_valid_one_is_refused(invalid: Any) -> None:
    """In Python, 0 equals false, and 1 equals true."""
    reader = DocumentReader()
    reader.read(json.dumps(FIRST).encode())
    with pytest.raises(DocumentError, match=r'routes\.'):
        reader.read(json.dumps(invalid).encode())
    body = json.dumps(document(3)).encode()
    assert reader.read(body) == read_document(body)


def test_only_the_parts_of_the_last_document_are_kept() -> None:
    """A process that runs for months would keep each part that it ever decoded."""
    reader = DocumentReader()
    for version in range(1, 20):
        text = changed_route(timeoutMs=3000 + version)
        reader.read(json.dumps({**text, 'version': version}).encode())
    assert len(reader.parts) == 8


def test_a_known_route_is_not_decoded_again(monkeypatch: pytest.MonkeyPatch) -> None:
    decode = Mock(side_effect=documents._decode_targets)
    monkeypatch.setattr(documents, '_decode_targets', decode)
    reader = DocumentReader()
    for text in (FIRST, document(2), changed_route(goalMs=700)):
        reader.read(json.dumps(text).encode())
    assert decode.call_count == 5 + 1
