"""Selectors: which labels match, and which texts are rejected with a clear error."""

import pytest

from hitchdeck_core.errors import SelectorError
from hitchdeck_core.labels import check_labels, check_selector, parse_selector

LABELS = {'tier': 'gold', 'region': 'north', 'example.org/kind': 'engine'}


@pytest.mark.parametrize(
    ('text', 'matches'),
    [
        ('', True),
        ('   ', True),
        ('tier=gold', True),
        ('tier == gold', True),
        ('tier!=gold', False),
        ('missing!=gold', True),
        ('tier in (gold, silver)', True),
        ('tier in (silver)', False),
        ('tier notin (silver)', True),
        ('missing notin (silver)', True),
        ('missing in (silver)', False),
        ('tier', True),
        ('!tier', False),
        ('!leaving', True),
        ('tier in (gold, silver), region=north, !leaving', True),
        ('tier in (gold, silver), region=south, !leaving', False),
        ('example.org/kind=engine', True),
    ],
)
def test_selector_matches_as_in_kubernetes(text: str, matches: bool) -> None:
    assert check_selector(text).matches(LABELS) is matches


@pytest.mark.parametrize(
    'text',
    ['tier in gold', 'tier in (', '=gold', 'a=b=c', 'a,,b', 'tier in (a b)', '-x'],
)
def test_bad_selector_is_refused_by_name(text: str) -> None:
    parsed = parse_selector(text)
    assert parsed.is_error()
    assert isinstance(parsed.error, SelectorError)


@pytest.mark.parametrize(
    'labels',
    [{'bad key': 'x'}, {'key': 'x' * 64}, {'key': 'a b'}, {'': 'x'}],
)
def test_bad_label_is_refused(labels: dict[str, str]) -> None:
    with pytest.raises(SelectorError):
        check_labels(labels)
