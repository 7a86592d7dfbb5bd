"""Lazily generated dataclasses behave like those of the standard library."""

import dataclasses
from typing import Any

import pytest

from hitchdeck_core import lazy_dataclasses


def examples(decorator: Any) -> tuple[type, type, type]:
    """Return a frozen class, a mutable one and a keyword-only subclass."""

    @decorator(frozen=True, slots=True)
    class Frozen:
        name: str
        parts: tuple[int, ...] = ()
        hidden: int = dataclasses.field(default=0, compare=False, repr=False)

    @decorator(slots=True)
    class Mutable:
        name: str
        items: list[int] = dataclasses.field(default_factory=list)
        total: int = dataclasses.field(init=False, default=0)

        def __post_init__(self) -> None:
            self.total = sum(self.items)

    @decorator(frozen=True, kw_only=True)
    class Base:
        box: str
        seconds: float = 1

        def __post_init__(self) -> None:
            if not self.box:
                raise ValueError('no name')

    @decorator(frozen=True, kw_only=True)
    class Settings(Base):
        listen: str

        def __post_init__(self) -> None:
            super().__post_init__()

    return Frozen, Mutable, Settings


BOTH = pytest.mark.parametrize(
    'decorator',
    [dataclasses.dataclass, lazy_dataclasses.dataclass],
    ids=['standard', 'lazy'],
)


@BOTH
def test_fields_defaults_and_text(decorator: Any) -> None:
    frozen, mutable, settings = examples(decorator)
    assert repr(frozen('a', hidden=3)).endswith("Frozen(name='a', parts=())")
    assert mutable('a', [1, 2]).total == 3
    assert mutable('a').items is not mutable('a').items
    assert settings(box='b', listen='l').seconds == 1
    assert [one.name for one in dataclasses.fields(settings)] == [
        'box',
        'seconds',
        'listen',
    ]
    assert frozen.__match_args__ == ('name', 'parts', 'hidden')
    assert not hasattr(frozen('a'), '__dict__')


@BOTH
def test_comparison_and_hash(decorator: Any) -> None:
    frozen, mutable, _ = examples(decorator)
    assert frozen('a', (1,), hidden=1) == frozen('a', (1,), hidden=2)
    assert frozen('a') != frozen('b')
    assert frozen('a') != mutable('a')
    assert len({frozen('a'), frozen('a'), frozen('b')}) == 2
    assert mutable('a', [1]) == mutable('a', [1])
    with pytest.raises(TypeError):
        hash(mutable('a'))


@BOTH
def test_replace_checks_again(decorator: Any) -> None:
    frozen, _, settings = examples(decorator)
    changed = dataclasses.replace(frozen('a'), parts=(2,))
    assert (changed.name, changed.parts) == ('a', (2,))
    with pytest.raises(ValueError, match='no name'):
        dataclasses.replace(settings(box='b', listen='l'), box='')


@BOTH
def test_frozen_objects_refuse_changes(decorator: Any) -> None:
    frozen, _, settings = examples(decorator)
    for one in (frozen('a'), settings(box='b', listen='l')):
        with pytest.raises(dataclasses.FrozenInstanceError):
            one.name = 'b'
        with pytest.raises(dataclasses.FrozenInstanceError):
            del one.name


@BOTH
def test_wrong_arguments_are_refused_each_time(decorator: Any) -> None:
    frozen, _, settings = examples(decorator)
    for _ in range(2):
        with pytest.raises(TypeError):
            frozen()
        with pytest.raises(TypeError):
            frozen('a', unknown=1)
        with pytest.raises(TypeError):
            settings('b', listen='l')


@BOTH
def test_a_method_of_the_class_is_kept(decorator: Any) -> None:
    @decorator(frozen=True, slots=True)
    class Named:
        name: str

        def __repr__(self) -> str:
            return f'<{self.name}>'

    assert repr(Named('a')) == '<a>'


def test_nothing_is_generated_before_its_use() -> None:
    """Generation at import is what the start must not pay for."""
    frozen, _, _ = examples(lazy_dataclasses.dataclass)
    stub = frozen.__init__
    frozen('a')
    assert frozen.__init__ is not stub
    assert frozen.__eq__.__qualname__.startswith('_stub')
