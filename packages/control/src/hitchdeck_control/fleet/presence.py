"""Routers as the leader sees them: connections, versions, leases.

All of this is soft state of one leadership.  A new leader starts with none,
and must not call a version in force before every lease that an earlier
leader may have granted has run out.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_pb2 import RouterEntry, RouterHello

_DISCONNECT_GRACE_SECONDS = 0.5
"""Seconds for which a router without a connection still counts as alive."""


@dataclass(slots=True)
class Presence:
    """One router life; times on the leader's clock, in seconds."""

    hello: RouterHello
    version: int = 0
    leaving: bool = False
    lease_until: float = float('-inf')
    disconnected_at: float | None = None

    def entry(self) -> RouterEntry:
        """Return what other routers are told about this one."""
        return RouterEntry(
            router=self.hello.router,
            incarnation=self.hello.incarnation,
            domain=self.hello.domain,
            http_address=self.hello.http_address,
            wire_address=self.hello.wire_address,
            leaving=self.leaving,
        )


class RouterTable:
    """All router lives that this leadership has seen and not forgotten."""

    def __init__(self, now: Clock, lease_seconds: float) -> None:
        self.now = now
        self.lease_seconds = lease_seconds
        self.by_incarnation: dict[str, Presence] = {}
        self.changed = Signal()
        self.roster_changed = Signal()

    def connect(self, hello: RouterHello) -> Presence:
        """Record a new connection and return its router's presence."""
        presence = self.by_incarnation.get(hello.incarnation)
        if presence is None:
            presence = Presence(hello)
            self.by_incarnation[hello.incarnation] = presence
        presence.hello = hello
        presence.disconnected_at = None
        self.roster_changed.notify()
        return presence

    def disconnect(self, presence: Presence) -> None:
        """Record that a connection was lost."""
        presence.disconnected_at = self.now()
        self.roster_changed.notify()

    def acknowledge(self, presence: Presence, version: int, leaving: bool) -> None:
        """Record the configuration version that a router has in force."""
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
        """Yield the lives that may be serving or schedule now."""
        now = self.now()
        for presence in list(self.by_incarnation.values()):
            if presence.disconnected_at is None and presence.lease_until > now:
                yield presence
            elif presence.disconnected_at is not None and (
                now - presence.disconnected_at < _DISCONNECT_GRACE_SECONDS
            ):
                yield presence

    def laggards(self, version: int) -> list[str]:
        """Return routers that may still admit under an older version."""
        now = self.now()
        return sorted(
            presence.hello.router
            for presence in self.by_incarnation.values()
            if presence.version < version and presence.lease_until > now
        )

    def remove_expired(self) -> list[str]:
        """Drop, and return, lives that are gone and whose leases ran out."""
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
