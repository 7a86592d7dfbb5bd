"""Asking the hubs for the origins of streams.

An id names one request, so that any record of it shows the origin.  A content may have
begun at several versions, so that its only known record is evidence only if nobody can
have forgotten another one: a hub states that it was told of every stream for as long as
the resumed one may have lasted.
"""

import asyncio
from collections.abc import Callable, Iterable

from hitchdeck_core import logs
from hitchdeck_core.ids import Address
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.stream_origins import StreamKey, StreamOrigin, is_by_content
from hitchdeck_edge.state.stream_origins import StreamOrigins

LOOKUP_SECONDS = 0.25
"""Timeout of a lookup.  A hub answers with its next frame, 0.04 s after the last one at
the latest; the rest is for round trips and busy event loops."""

MAX_LOOKUPS = 1000
"""Maximum number of lookups at a time, which bounds memory and the size of frames."""


class _Lookup:
    """One stream that is looked up.

    Attributes
    ----------
    max_age
        For how long the stream may have lasted, in seconds.
    complete_seconds
        For how long some hub has known every origin.
    is_proven
        Whether that is long enough.
    unasked, silent
        Hubs that have not been asked yet, and hubs that have not answered yet.
    needs_all
        Whether hubs may know different origins.
    found
        The origins that hubs answered.
    result
        Done when the lookup ends.
    """

    def __init__(
        self, hubs: Iterable[Address], max_age: float, *, needs_all: bool
    ) -> None:
        self.max_age = max_age
        self.complete_seconds = 0.0
        self.unasked = set(hubs)
        self.silent = set(self.unasked)
        self.hub_count = len(self.silent)
        self.needs_all = needs_all
        self.found: set[StreamOrigin] = set()
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[StreamOrigin | None] = loop.create_future()

    @property
    def is_proven(self) -> bool:
        """Tell whether nobody can have forgotten another origin."""
        return not self.needs_all or self.complete_seconds >= self.max_age

    @property
    def is_complete(self) -> bool:
        """Tell whether no further answer can change the result."""
        return not self.silent or bool(self.found and not self.needs_all)

    def settle(self) -> None:
        """End the lookup; several origins are as good as none."""
        if self.result.done():
            return
        logs.info(
            'origin looked up',
            hubs=self.hub_count,
            silent=len(self.silent),
            found=sorted(f'{one.pool} {one.software}' for one in self.found),
            complete=round(self.complete_seconds, 3),
            needed=self.max_age if self.needs_all else 0,
        )
        is_certain = self.is_proven and len(self.found) == 1
        only = next(iter(self.found)) if is_certain else None
        self.result.set_result(_if_certain(only))


class OriginLookup:
    """Finds origins in this box's records, or at the hubs that it reaches.

    Attributes
    ----------
    hubs
        Returns the hubs that this box reaches.
    wake
        Sends the next frames to all hubs at once when notified.
    open
        The lookups that are under way.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        wake: Signal,
        hubs: Callable[[], Iterable[Address]] = tuple,
    ) -> None:
        self.origins = origins
        self.wake = wake
        self.hubs = hubs
        self.open: dict[StreamKey, _Lookup] = {}

    async def find(self, key: StreamKey, max_age: float) -> StreamOrigin | None:
        """Return the origin of a stream; ``None`` if it is not certain.

        Parameters
        ----------
        max_age
            For how long the stream may have lasted, in seconds.
        """
        known = self.origins.find(key)
        if known is not None and not is_by_content(key):
            return _if_certain(known)
        lookup = self.open.get(key) or self._begin(key, max_age)
        if lookup is None:
            return None
        if known is not None:
            lookup.found.add(known)
        # Another request may wait for the same lookup.
        return await asyncio.shield(lookup.result)

    def take_wanted(self, hub: Address) -> list[StreamKey]:
        """Return the streams that a hub is to be asked for now."""
        wanted = [key for key, lookup in self.open.items() if hub in lookup.unasked]
        for key in wanted:
            self.open[key].unasked.discard(hub)
        return wanted

    def apply(
        self,
        hub: Address,
        found: Iterable[tuple[StreamKey, StreamOrigin]],
        unknown: Iterable[StreamKey],
        complete_seconds: float,
    ) -> None:
        """Apply a hub's answer.

        Parameters
        ----------
        complete_seconds
            For how long the hub has known every origin.
        """
        for key, origin in found:
            self._record_proof(key, complete_seconds)
            self.origins.remember((key,), origin)
            self._answer(key, hub, origin)
        for stream in unknown:
            self._record_proof(stream, complete_seconds)
            self._answer(stream, hub)

    def forget_hub(self, hub: Address) -> None:
        """Expect no answer of a hub that was lost."""
        for key in list(self.open):
            self._answer(key, hub)

    def _record_proof(self, key: StreamKey, complete_seconds: float) -> None:
        lookup = self.open.get(key)
        if lookup is not None:
            lookup.complete_seconds = max(lookup.complete_seconds, complete_seconds)

    def _begin(self, key: StreamKey, max_age: float) -> _Lookup | None:
        hubs = set(self.hubs())
        if not hubs or len(self.open) >= MAX_LOOKUPS:
            return None
        # Only a content may have several origins, each of which another hub knows.
        lookup = _Lookup(hubs, max_age, needs_all=is_by_content(key))
        self.open[key] = lookup
        asyncio.get_running_loop().call_later(LOOKUP_SECONDS, self._settle, key)
        self.wake.notify()
        return lookup

    def _answer(
        self, key: StreamKey, hub: Address, origin: StreamOrigin | None = None
    ) -> None:
        lookup = self.open.get(key)
        if lookup is None:
            return
        lookup.unasked.discard(hub)
        lookup.silent.discard(hub)
        if origin is not None:
            lookup.found.add(origin)
        if lookup.is_complete:
            self._settle(key)

    def _settle(self, key: StreamKey) -> None:
        lookup = self.open.pop(key, None)
        if lookup is not None:
            lookup.settle()


def _if_certain(origin: StreamOrigin | None) -> StreamOrigin | None:
    return origin if origin and origin.software else None
