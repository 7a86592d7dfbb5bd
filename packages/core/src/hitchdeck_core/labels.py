"""Labels and selectors, in the syntax of Kubernetes.

``tier in (gold, silver), region=north, !leaving`` matches labels whose ``tier``
is one of the two, whose ``region`` is ``north``, and that don't contain the key
``leaving``.  As in Kubernetes, ``!=`` and ``notin`` also match an absent key.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from expression import Error, Ok, Result

from hitchdeck_core.errors import SelectorError

Labels = Mapping[str, str]

_NAME = r'[A-Za-z0-9](?:[A-Za-z0-9_.-]*[A-Za-z0-9])?'
_KEY = rf'(?:{_NAME}/)?{_NAME}'
_MAX_NAME_LENGTH = 63
_KEY_PATTERN = re.compile(_KEY)
_VALUE_PATTERN = re.compile(rf'(?:{_NAME})?')
_SET_PATTERN = re.compile(rf'({_KEY})\s+(in|notin)\s*\(([^()]*)\)')
_EQUALITY_PATTERN = re.compile(rf'({_KEY})\s*(==|=|!=)\s*({_NAME}|)')
_PRESENCE_PATTERN = re.compile(rf'(!?)\s*({_KEY})')
# A comma inside parentheses separates set members, not requirements.
_SEPARATOR = re.compile(r',(?![^(]*\))')
_CACHED_SELECTORS = 4096


class Operator(Enum):
    """Operator of a requirement."""

    one_of = 'in'
    none_of = 'notin'
    present = 'exists'
    absent = '!'


@dataclass(frozen=True, slots=True)
class Requirement:
    """A condition on one label key."""

    key: str
    operator: Operator
    choices: frozenset[str] = frozenset()

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels meet this condition."""
        if self.operator is Operator.present:
            return self.key in labels
        if self.operator is Operator.absent:
            return self.key not in labels
        chosen = labels.get(self.key) in self.choices
        return chosen if self.operator is Operator.one_of else not chosen


@dataclass(frozen=True, slots=True)
class Selector:
    """Conditions that must all hold; without any, everything matches."""

    requirements: tuple[Requirement, ...]

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels meet all conditions."""
        return all(one.matches(labels) for one in self.requirements)


def check_labels(labels: Labels) -> Labels:
    """Return the labels, or raise ``SelectorError`` naming the invalid one."""
    for key, text in labels.items():
        _check_key(key)
        _check_value(key, text)
    return labels


@lru_cache(maxsize=_CACHED_SELECTORS)
def parse_selector(text: str) -> Result[Selector, SelectorError]:
    """Parse a selector.

    Parameters
    ----------
    text
        Comma-separated requirements; blank text matches everything.

    Returns
    -------
    Result
        The selector, or an error that names the invalid requirement.
    """
    if not text.strip():
        return Ok(Selector(()))
    try:
        requirements = tuple(
            _parse_requirement(part.strip()) for part in _SEPARATOR.split(text)
        )
    except SelectorError as error:
        return Error(error)
    return Ok(Selector(requirements))


def check_selector(text: str) -> Selector:
    """Return the parsed selector, or raise its ``SelectorError``."""
    parsed = parse_selector(text)
    if parsed.is_error():
        raise parsed.error
    return parsed.ok


def _parse_requirement(part: str) -> Requirement:
    matched = _SET_PATTERN.fullmatch(part)
    if matched:
        key, operator, members = matched.groups()
        return Requirement(key, Operator(operator), _parse_choices(key, members))
    matched = _EQUALITY_PATTERN.fullmatch(part)
    if matched:
        key, sign, text = matched.groups()
        operator = Operator.none_of if sign == '!=' else Operator.one_of
        return Requirement(key, operator, frozenset((text,)))
    matched = _PRESENCE_PATTERN.fullmatch(part)
    if matched:
        operator = Operator.absent if matched.group(1) else Operator.present
        return Requirement(matched.group(2), operator)
    raise SelectorError(
        f'selector requirement {part!r} is none of: key, !key, key=value, '
        'key!=value, key in (a, b), key notin (a, b)',
    )


def _parse_choices(key: str, members: str) -> frozenset[str]:
    choices = [member.strip() for member in members.split(',')]
    for choice in choices:
        _check_value(key, choice)
    return frozenset(choices)


def _check_key(key: str) -> None:
    _, _, name = key.rpartition('/')
    if not _KEY_PATTERN.fullmatch(key) or len(name) > _MAX_NAME_LENGTH:
        raise SelectorError(f'label key {key!r} is not a label key')


def _check_value(key: str, text: str) -> None:
    if not _VALUE_PATTERN.fullmatch(text) or len(text) > _MAX_NAME_LENGTH:
        raise SelectorError(f'label {key!r} has a bad value: {text!r}')
