"""Asking the hubs for the origins of streams that this box did not serve."""

import asyncio
from collections.abc import Callable, Iterable

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
    unasked, silent
        Hubs that have not been asked yet, and hubs that have not answered yet.
    needs_all
        Whether hubs may know different origins.
    found
        The origins that hubs answered.
    result
        Done when the lookup ends.
    """

    def __init__(self, hubs: Iterable[Address], *, needs_all: bool) -> None:
        self.unasked = set(hubs)
        self.silent = set(self.unasked)
        self.needs_all = needs_all
        self.found: set[StreamOrigin] = set()
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[StreamOrigin | None] = loop.create_future()

    @property
    def is_complete(self) -> bool:
        """Tell whether no further answer can change the result."""
        return not self.silent or bool(self.found and not self.needs_all)

    def settle(self) -> None:
        """End the lookup; several origins are as good as none."""
        if not self.result.done():
            only = next(iter(self.found)) if len(self.found) == 1 else None
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

    async def find(self, key: StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream; ``None`` if it is not certain."""
        known = self.origins.find(key)
        if known is not None:
            return _if_certain(known)
        lookup = self.open.get(key) or self._begin(key)
        if lookup is None:
            return None
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
    ) -> None:
        """Apply a hub's answer."""
        for key, origin in found:
            self.origins.remember((key,), origin)
            self._answer(key, hub, origin)
        for stream in unknown:
            self._answer(stream, hub)

    def forget_hub(self, hub: Address) -> None:
        """Expect no answer of a hub that was lost."""
        for key in list(self.open):
            self._answer(key, hub)

    def _begin(self, key: StreamKey) -> _Lookup | None:
        hubs = set(self.hubs())
        if not hubs or len(self.open) >= MAX_LOOKUPS:
            return None
        # Only a content may have several origins, each of which another hub knows.
        lookup = _Lookup(hubs, needs_all=is_by_content(key))
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
