"""Dataclasses whose methods are generated when they are first used.

The standard decorator compiles up to six methods per class at import, which took a
quarter of the processor time of a start.  Most classes are not used by then.
``field``, ``fields`` and ``replace`` of ``dataclasses`` work on these classes.  Not
supported are other options than those below, ``InitVar``, metadata of fields, an own
``__init__``, copies of frozen objects by ``copy``, and subclasses by the standard
decorator.
"""

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

_GENERATED = ('__init__', '__repr__', '__eq__', '__hash__')


def _lazy_dataclass(
    *, frozen: bool = False, slots: bool = False, kw_only: bool = False
) -> Callable[[type], type]:
    """Return a decorator like ``dataclasses.dataclass`` with these options."""

    def decorate(cls: type) -> type:
        own = frozenset(cls.__dict__)
        lazy: type = dataclasses.dataclass(
            init=False, repr=False, eq=False, slots=slots, kw_only=kw_only
        )(cls)
        for name in _GENERATED:
            if name == '__init__' or name not in own:
                setattr(lazy, name, _stub(lazy, name, frozen=frozen))
        if not frozen and '__hash__' not in own:
            # As ``dataclasses`` does: objects that compare by value and can change.
            lazy.__hash__ = None  # type: ignore[assignment]
        if frozen:
            lazy.__setattr__ = _refuse  # type: ignore[assignment, method-assign]
            lazy.__delattr__ = _refuse  # type: ignore[assignment, method-assign]
        return lazy

    return decorate


def _stub(lazy: type, name: str, *, frozen: bool) -> Callable[..., Any]:
    """Return a method that generates the real one, replaces itself and calls it."""

    def method(self: object, *args: object, **named: object) -> Any:
        generated = getattr(_eager_twin(lazy, name, frozen=frozen), name)
        setattr(lazy, name, generated)
        return generated(self, *args, **named)

    return method


def _eager_twin(lazy: type, name: str, *, frozen: bool) -> type:
    """Return a dataclass with the same fields, on which one method is generated."""
    names: dict[str, Any] = {'__annotations__': {}}
    for one in dataclasses.fields(lazy):
        names['__annotations__'][one.name] = one.type
        names[one.name] = dataclasses.field(
            default=one.default,
            default_factory=one.default_factory,
            init=one.init,
            repr=one.repr,
            hash=one.hash,
            compare=one.compare,
            kw_only=one.kw_only,
        )
    if hasattr(lazy, '__post_init__'):
        names['__post_init__'] = lazy.__post_init__
    twin = type(lazy.__name__, (), names)
    by_value = name in {'__eq__', '__hash__'}
    return dataclasses.dataclass(
        init=name == '__init__', repr=name == '__repr__', eq=by_value, frozen=frozen
    )(twin)


def _refuse(self: object, name: str, *given: object) -> None:
    raise dataclasses.FrozenInstanceError(f'cannot change field {name!r}')


if TYPE_CHECKING:
    from dataclasses import dataclass as dataclass
else:
    dataclass = _lazy_dataclass
