"""Leases under suspensions and lost messages: none outlives the leader's record."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hitchdeck_control.fleet.presence import RouterTable
from hitchdeck_core.wire.hitchdeck_pb2 import RouterHello
from hitchdeck_router.fleet.lease import ConfigurationLease

LEASE = 3.0


class LeaseMachine(RuleBasedStateMachine):
    """One leader and one router; messages are delayed, lost and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.routers = RouterTable(lambda: self.now, LEASE)
        self.presence = self.routers.connect(RouterHello(incarnation='r', router='r'))
        self.lease = ConfigurationLease(lambda: self.now)
        self.beats: list[int] = []
        self.grants: list[int] = []

    @rule()
    def beat(self) -> None:
        """Send a beat."""
        self.beats.append(self.lease.next_beat())

    @rule(place=st.integers(0, 3), keep=st.booleans())
    def leader_hears(self, place: int, keep: bool) -> None:
        """The leader receives one of the beats in flight, possibly twice."""
        if place < len(self.beats):
            number = self.beats[place] if keep else self.beats.pop(place)
            self.routers.grant_lease(self.presence)
            self.grants.append(number)

    @rule(place=st.integers(0, 3), lost=st.booleans())
    def router_hears(self, place: int, lost: bool) -> None:
        """A grant arrives or is lost."""
        if place < len(self.grants):
            number = self.grants.pop(place)
            if not lost:
                self.lease.renew(number, LEASE)

    @rule(seconds=st.floats(0, 5))
    def time_passes(self, seconds: float) -> None:
        """Advance the clock; either side may be suspended meanwhile."""
        self.now += seconds

    @invariant()
    def router_never_outlives_what_the_leader_believes(self) -> None:
        """A lease that is live at the router is live at the leader."""
        if self.lease.is_live():
            assert self.presence.lease_until > self.now
            assert self.routers.laggards(1) == ['r']


TestLeases = LeaseMachine.TestCase
