"""Routers known to the leader: connections, applied versions and leases.

This is soft state of one leadership.  A new leader starts with none of it, and must
not report a version as in force before all leases that an earlier leader may have
granted have expired.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_pb2 import RouterEntry, RouterHello

_DISCONNECT_GRACE_SECONDS = 0.5
"""Time for which a disconnected router still counts as alive."""


@dataclass(slots=True)
class Presence:
    """A router incarnation; times are seconds on the leader's clock."""

    hello: RouterHello
    version: int = 0
    leaving: bool = False
    lease_until: float = float('-inf')
    disconnected_at: float | None = None

    def entry(self) -> RouterEntry:
        """Return the directory entry of this router."""
        return RouterEntry(
            router=self.hello.router,
            incarnation=self.hello.incarnation,
            domain=self.hello.domain,
            http_address=self.hello.http_address,
            wire_address=self.hello.wire_address,
            leaving=self.leaving,
        )


class RouterTable:
    """Router incarnations that connected under this leadership."""

    def __init__(self, now: Clock, lease_seconds: float) -> None:
        self.now = now
        self.lease_seconds = lease_seconds
        self.by_incarnation: dict[str, Presence] = {}
        self.changed = Signal()
        self.roster_changed = Signal()

    def connect(self, hello: RouterHello) -> Presence:
        """Record a connection and return the presence of its router."""
        presence = self.by_incarnation.get(hello.incarnation)
        if presence is None:
            presence = Presence(hello)
            self.by_incarnation[hello.incarnation] = presence
        presence.hello = hello
        presence.disconnected_at = None
        self.roster_changed.notify()
        return presence

    def disconnect(self, presence: Presence) -> None:
        """Record the loss of a connection."""
        presence.disconnected_at = self.now()
        self.roster_changed.notify()

    def acknowledge(self, presence: Presence, version: int, leaving: bool) -> None:
        """Record the configuration version that a router applies."""
        if presence.leaving != leaving:
            presence.leaving = leaving
            self.roster_changed.notify()
        if version != presence.version:
            presence.version = version
            self.changed.notify()

    def grant_lease(self, presence: Presence) -> float:
        """Extend a router's lease and return its length in seconds."""
        presence.lease_until = self.now() + self.lease_seconds
        return self.lease_seconds

    def alive(self) -> Iterator[Presence]:
        """Yield the incarnations that may be serving or scheduling now."""
        now = self.now()
        for presence in list(self.by_incarnation.values()):
            if presence.disconnected_at is None and presence.lease_until > now:
                yield presence
            elif presence.disconnected_at is not None and (
                now - presence.disconnected_at < _DISCONNECT_GRACE_SECONDS
            ):
                yield presence

    def laggards(self, version: int) -> list[str]:
        """Return the routers that may still admit requests under an older version."""
        now = self.now()
        return sorted(
            presence.hello.router
            for presence in self.by_incarnation.values()
            if presence.version < version and presence.lease_until > now
        )

    def remove_expired(self) -> list[str]:
        """Remove and return disconnected incarnations with expired leases."""
        now = self.now()
        gone = [
            incarnation
            for incarnation, presence in self.by_incarnation.items()
            if presence.disconnected_at is not None
            and presence.lease_until < now
            and now - presence.disconnected_at > _DISCONNECT_GRACE_SECONDS
        ]
        for incarnation in gone:
            self.by_incarnation.pop(incarnation)
        return gone
