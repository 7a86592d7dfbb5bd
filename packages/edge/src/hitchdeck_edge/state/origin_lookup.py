"""Asking the hubs for the origins of streams that this box did not serve."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from hitchdeck_core.ids import Address
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.stream_origins import NO_STREAM, StreamKey, StreamOrigin
from hitchdeck_edge.state.stream_origins import StreamOrigins

LOOKUP_SECONDS = 0.25
"""Time within which hubs answer: some frames of theirs."""

MAX_LOOKUPS = 1000
"""Maximum number of lookups at a time, which bounds memory and the size of frames."""


class _Lookup:
    """One stream that is looked up.

    Attributes
    ----------
    unasked, silent
        Hubs that have not been asked yet, and hubs that have not answered yet.
    """

    def __init__(self, hubs: Iterable[Address]) -> None:
        self.unasked = set(hubs)
        self.silent = set(self.unasked)
        loop = asyncio.get_running_loop()
        self.found: asyncio.Future[StreamOrigin | None] = loop.create_future()

    def settle(self, origin: StreamOrigin | None) -> None:
        """End the lookup."""
        if not self.found.done():
            self.found.set_result(origin)


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
        """Return the origin of a stream; ``None`` if nobody in reach knows it."""
        known = self.origins.find(key)
        if known is not None or key == NO_STREAM:
            return known
        lookup = self.open.get(key) or self._begin(key)
        if lookup is None:
            return None
        # Another request may wait for the same lookup.
        return await asyncio.shield(lookup.found)

    def take_wanted(self, hub: Address) -> list[StreamKey]:
        """Return the streams that a hub is to be asked for now."""
        wanted = [key for key, lookup in self.open.items() if hub in lookup.unasked]
        for key in wanted:
            self.open[key].unasked.discard(hub)
        return wanted

    def apply(
        self,
        hub: Address,
        found: Mapping[StreamKey, StreamOrigin],
        unknown: Iterable[StreamKey],
    ) -> None:
        """Apply a hub's answer."""
        for key, origin in found.items():
            self.origins.remember(key, origin)
            self._settle(key, origin)
        for key in unknown:
            self._leave_out(key, hub)

    def forget_hub(self, hub: Address) -> None:
        """Expect no answer of a hub that was lost."""
        for key in list(self.open):
            self._leave_out(key, hub)

    def _begin(self, key: StreamKey) -> _Lookup | None:
        hubs = set(self.hubs())
        if not hubs or len(self.open) >= MAX_LOOKUPS:
            return None
        lookup = _Lookup(hubs)
        self.open[key] = lookup
        asyncio.get_running_loop().call_later(LOOKUP_SECONDS, self._settle, key, None)
        self.wake.notify()
        return lookup

    def _leave_out(self, key: StreamKey, hub: Address) -> None:
        lookup = self.open.get(key)
        if lookup is None:
            return
        lookup.unasked.discard(hub)
        lookup.silent.discard(hub)
        if not lookup.silent:
            self._settle(key, None)

    def _settle(self, key: StreamKey, origin: StreamOrigin | None) -> None:
        lookup = self.open.pop(key, None)
        if lookup is not None:
            lookup.settle(origin)
