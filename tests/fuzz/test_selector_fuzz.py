"""Selectors against a direct evaluation of their requirements."""

from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.labels import check_selector, parse_selector
from hitchdeck_router.fleet.index import LabelIndex

KEYS = st.sampled_from(['tier', 'region', 'leaving'])
CHOICES = st.sampled_from(['a', 'b', 'c'])
LABELS = st.dictionaries(KEYS, CHOICES)


@given(LABELS, KEYS, st.sets(CHOICES, min_size=1), st.booleans())
def test_sets_mean_what_they_say(
    labels: dict[str, str],
    key: str,
    choices: set[str],
    negated: bool,
) -> None:
    word = 'notin' if negated else 'in'
    selector = check_selector(f'{key} {word} ({", ".join(sorted(choices))})')
    assert selector.matches(labels) is ((labels.get(key) in choices) != negated)


@given(LABELS, st.lists(st.tuples(KEYS, CHOICES), min_size=1, max_size=3))
def test_all_requirements_must_hold(
    labels: dict[str, str],
    pairs: list[tuple[str, str]],
) -> None:
    selector = check_selector(', '.join(f'{key}={one}' for key, one in pairs))
    assert selector.matches(labels) is all(labels.get(key) == one for key, one in pairs)


@given(st.text(max_size=40))
def test_any_text_is_parsed_or_refused(text: str) -> None:
    parsed = parse_selector(text)
    assert parsed.is_ok() or str(parsed.error)


REQUIREMENTS = st.one_of(
    st.tuples(KEYS, CHOICES).map('='.join),
    st.tuples(KEYS, CHOICES).map('!='.join),
    KEYS,
    KEYS.map('!{}'.format),
    st.sampled_from(['name=p', 'name in (q, z)', 'name!=p']),
    st.tuples(KEYS, CHOICES, CHOICES).map(lambda one: '{} in ({}, {})'.format(*one)),
    st.tuples(KEYS, CHOICES).map(lambda one: '{} notin ({})'.format(*one)),
)


@given(
    st.lists(st.tuples(st.sampled_from('pqrs'), LABELS), max_size=12),
    st.lists(REQUIREMENTS, max_size=3),
)
def test_index_finds_what_asking_every_upstream_finds(
    writes: list[tuple[str, dict[str, str]]],
    requirements: list[str],
) -> None:
    index = LabelIndex()
    model: dict[UpstreamName, dict[str, str]] = {}
    for name, labels in writes:
        if not labels:
            index.remove(UpstreamName(name))
            model.pop(UpstreamName(name), None)
            continue
        index.put(UpstreamName(name), labels)
        model[UpstreamName(name)] = labels
    selector = check_selector(', '.join(requirements))
    expected = {
        name
        for name, labels in model.items()
        if selector.matches({'name': name, **labels})
    }
    assert index.matching(selector) == expected
