"""Budgets of the bytes and descriptors of a process, from its stated limits.

Load: callers and upstreams that are slow to read, and large bodies.  When the budget of
bytes runs short, reading stops first.  If that does not suffice, the largest
holding of the account that holds most is evicted.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import field

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock, boot_seconds
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.signals import Signal

PROCESS_BYTES = 80_000_000
"""Memory of a process that holds nothing (37 MB after its start), with room for its
own state and for relayed connections (16 MB at most)."""

COPIES = 3
"""Copies of a body: the chunks read, the body, and the message to an upstream."""

MIN_BYTES = 16_777_216
"""Smallest budget: one body of the maximum size must fit."""

READ_FRACTION = 0.5
"""Part of the budget above which reading stops: the other half is for the oldest
requests, which are read on so that the others can follow."""

STALL_SECONDS = 1.0
"""Time after which a request whose rest does not arrive has stalled: it passes on its
turn to be read, and may be evicted if others wait.  It is also the maximum wait of
those.
Callers drop a request that was not read within a second."""

INPUT_SECONDS = 0.02
"""Time for processing input that arrived while this process was suspended."""

SPOOL_BYTES = 262_144
"""Maximum size of the spool of one response, more than a response of 20,000 tokens."""

FILE_DESCRIPTORS = 200
"""Descriptors that are for files."""

RESERVED_DESCRIPTORS = 192
"""Descriptors for listeners, links to hubs, and connections accepted in one turn, of
which there may be 128."""

EXHAUSTED_SECONDS = 1.0
"""Time for which requests are rejected after no idle connection could be closed: those
in progress end and release theirs."""

MAX_RELAYS = 500
"""Maximum number of relayed connections; each takes two descriptors."""

RELAY_FRACTION = 0.25
"""Part of the descriptors that relayed connections may take."""

Evict = Callable[[], None]
"""Releases what a holding holds."""


class Holding:
    """Bytes held for one request.

    Attributes
    ----------
    account
        Identifies the client account; it may be a key, so it is not logged.
    size
        Number of bytes.
    evict
        Releases them; ``None`` if that is not possible now.
    is_being_read
        Whether the request was not read in full yet.
    is_waiting
        Whether its reading is stopped for lack of room.
    progressed
        When more of it was read last, in seconds.
    """

    __slots__ = (
        'account',
        'evict',
        'is_being_read',
        'is_waiting',
        'progressed',
        'size',
    )

    def __init__(self, account: str, evict: Evict | None = None) -> None:
        self.account = account
        self.size = 0
        self.evict = evict
        self.is_being_read = False
        self.is_waiting = False
        self.progressed = 0.0


class ByteBudget:
    """Bytes that a process holds for callers and upstreams.

    Attributes
    ----------
    limit
        Maximum of their sum; 0 if there is none.
    held
        Their sum.
    holdings
        All holdings, oldest first.
    changed
        Notified when bytes are released.
    evicted
        Number of evictions so far.
    """

    def __init__(self, limit: float, now: Clock = boot_seconds) -> None:
        self.limit = limit
        self.now = now
        self.held = 0
        self.holdings: dict[Holding, None] = {}
        self.changed = Signal()
        self.evicted = 0

    @property
    def has_room(self) -> bool:
        """Tell whether any request may be read."""
        return not self.limit or self.held < READ_FRACTION * self.limit

    def open(self, account: str, evict: Evict | None = None) -> Holding:
        """Return a new holding."""
        holding = Holding(account, evict)
        self.holdings[holding] = None
        return holding

    def open_reading(self, account: str, evict: Evict) -> Holding:
        """Return a new holding of a request that is being read."""
        holding = self.open(account, evict)
        holding.is_being_read = True
        holding.progressed = self.now()
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Set the size of a holding; evict one if the limit is exceeded."""
        if holding not in self.holdings:
            return
        self.held += size - holding.size
        grown = size - holding.size
        holding.size = size
        if holding.is_being_read:
            holding.progressed = self.now()
        if grown < 0:
            self.changed.notify()
        elif grown and self.limit and self.held > self.limit:
            self.make_room()

    def close(self, holding: Holding) -> None:
        """Release a holding."""
        self.resize(holding, 0)
        self.holdings.pop(holding, None)

    def fits(self, length: int) -> bool:
        """Tell whether a body of this length may be read at all."""
        return not self.limit or self.held + length <= self.limit

    def may_read(self, holding: Holding) -> bool:
        """Tell whether more may be read for a holding.

        The oldest request that is being read and has not stalled may be, up to the
        limit.
        """
        if self.has_room:
            return True
        if self.held >= self.limit:
            return False
        reading = (
            one
            for one in self.holdings
            if one.is_being_read and (one is holding or not self._is_stalled(one))
        )
        return next(reading, None) is holding

    def may_spool(self, holding: Holding) -> bool:
        """Tell whether more of a response may be read than its caller takes."""
        return bool(self.limit) and holding.size < SPOOL_BYTES and self.has_room

    def end_reading(self, holding: Holding) -> None:
        """Record that a request was read in full; the next one may be read on."""
        holding.evict = None
        holding.is_being_read = False
        self.changed.notify()

    async def wait_to_read(self, holding: Holding) -> bool:
        """Wait until more may be read for a holding, or it has given way.

        Returns
        -------
        bool
            ``False`` if there is no room in time, so that the request is to be refused.
        """
        holding.is_waiting = True
        until = self.now() + STALL_SECONDS
        while holding in self.holdings and not self.may_read(holding):
            left = until - self.now()
            if left <= 0 or not await self.changed.wait(left):
                break
        if not self.has_room and self.next_to_evict(self._is_stalled):
            await asyncio.sleep(INPUT_SECONDS)
            self.make_room_of_stalled()
        holding.is_waiting = False
        holding.progressed = self.now()
        return holding not in self.holdings or self.may_read(holding)

    def make_room(self) -> None:
        """Evict the largest holding of the account that holds most."""
        self._evict(self.next_to_evict())

    def make_room_of_stalled(self) -> None:
        """Evict a stalled request of the account that holds most."""
        self._evict(self.next_to_evict(self._is_stalled))

    def next_to_evict(
        self, condition: Callable[[Holding], bool] = bool
    ) -> Holding | None:
        """Return the largest evictable holding of the account that holds most.

        Other accounts are spared: bodies in service can't be evicted, and breaking off
        the responses of others would not free what those hold.
        """
        by_account: Counter[str] = Counter()
        for holding in self.holdings:
            by_account[holding.account] += holding.size
        most = max(by_account.values(), default=0)
        able = (
            one
            for one in self.holdings
            if one.evict and one.size and by_account[one.account] == most
        )
        return max(filter(condition, able), key=lambda one: one.size, default=None)

    def _is_stalled(self, holding: Holding) -> bool:
        """Tell whether the rest of a request that may be read does not arrive."""
        if holding.is_waiting or not holding.is_being_read:
            return False
        return self.now() - holding.progressed >= STALL_SECONDS

    def _evict(self, holding: Holding | None) -> None:
        if holding is None or holding.evict is None:
            return
        evict, size = holding.evict, holding.size
        self.close(holding)
        self.evicted += 1
        logs.warning(
            'request evicted for lack of memory',
            bytes=size,
            held=self.held,
            limit=round(self.limit),
        )
        evict()


class DescriptorBudget:
    """Descriptors of a process.

    A new descriptor is the lowest free one, so its number shows how many are open.

    Attributes
    ----------
    usable
        Number of descriptors for connections; 0 if no limit is stated.
    scarce
        Whether nearly all of them were open when the last connection was accepted.
    exhausted_at
        When no idle connection could be closed last, in seconds.
    """

    def __init__(self, limit: float, now: Clock = boot_seconds) -> None:
        usable = int(limit) - FILE_DESCRIPTORS - RESERVED_DESCRIPTORS
        self.now = now
        self.usable = max(1, usable) if limit else 0
        self.scarce = False
        self.exhausted_at = -math.inf

    @property
    def exhausted(self) -> bool:
        """Tell whether new requests are to be rejected."""
        return self.now() - self.exhausted_at < EXHAUSTED_SECONDS

    def record_accepted(self, descriptor: int) -> None:
        """Update the state by the descriptor of a connection that was accepted."""
        self.scarce = bool(self.usable) and descriptor >= self.usable
        if not self.scarce:
            self.exhausted_at = -math.inf

    def record_closed(self, connections: int) -> None:
        """Update the state by the number of idle connections that were closed."""
        ran_out = self.scarce and not connections
        self.exhausted_at = self.now() if ran_out else -math.inf

    def may_relay(self, relays: int) -> bool:
        """Tell whether another connection may be relayed."""
        if self.scarce:
            return False
        if not self.usable:
            return relays < MAX_RELAYS
        return relays < min(MAX_RELAYS, RELAY_FRACTION * self.usable / 2)


@dataclass(frozen=True, slots=True)
class Budgets:
    """Budgets of one process; without limits by default."""

    bytes: ByteBudget = field(default_factory=lambda: ByteBudget(0))
    descriptors: DescriptorBudget = field(default_factory=lambda: DescriptorBudget(0))


def budgets_of(memory_limit: float, descriptor_limit: float) -> Budgets:
    """Return the budgets for stated limits; 0 for a limit that is not stated."""
    usable = max(MIN_BYTES, (memory_limit - PROCESS_BYTES) / COPIES)
    return Budgets(
        ByteBudget(usable if memory_limit else 0), DescriptorBudget(descriptor_limit)
    )
