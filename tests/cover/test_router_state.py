"""State of a router: configuration, lease, directory, placement, usage."""

import pytest

from hitchdeck_control.fleet.directory import DirectoryState, difference
from hitchdeck_control.fleet.usage import UsageTable
from hitchdeck_core.ids import (
    AccountName,
    Address,
    Incarnation,
    PoolName,
    ShardId,
    UpstreamName,
)
from hitchdeck_core.resources import (
    Account,
    Effect,
    Pool,
    Resource,
    Rule,
    Upstream,
    Urgency,
    encode_resource,
)
from hitchdeck_core.wire.hitchdeck_pb2 import (
    Delta,
    Directory,
    ResourceChange,
    RouterEntry,
    ShardEntry,
    UsageSum,
)
from hitchdeck_router.fleet.directory import FleetDirectory
from hitchdeck_router.fleet.lease import ConfigurationLease
from hitchdeck_router.fleet.view import FleetView
from hitchdeck_router.scheduling.placement import CacheIndex, choose_upstream
from hitchdeck_router.serving.addresses import addresses_for

U1, U2 = UpstreamName('u1'), UpstreamName('u2')


def written(resource: Resource) -> ResourceChange:
    """Return a change that writes a resource."""
    body = encode_resource(resource)
    return ResourceChange(kind=resource.kind, name=resource.name, body=body)


def upstream(name: str, **labels: str) -> Upstream:
    """Return an upstream."""
    return Upstream(name=name, address=Address('127.0.0.1:1'), labels=labels)


BASE = [
    Account(name='a', labels={'tier': 'gold'}, key_hashes=('h',)),
    Account(name='b'),
    Pool(name='p', upstreams='kind=engine'),
    upstream('u1', kind='engine'),
    upstream('u2', kind='engine', region='south'),
    Rule(name='reach', effect=Effect.access, accounts='tier=gold'),
    Rule(name='now', effect=Effect.urgent, requests='work=confirm'),
    Rule(name='later', effect=Effect.deferrable, requests='work in (draft, confirm)'),
]


def view_of(*resources: Resource) -> FleetView:
    """Return a view at version 1."""
    view = FleetView()
    changes = [written(one) for one in resources]
    assert view.apply(Delta(full=True, version=1, changes=changes))
    return view


def change(view: FleetView, *changes: ResourceChange) -> None:
    """Advance a view to its next version."""
    version = view.version
    assert view.apply(
        Delta(from_version=version, version=version + 1, changes=changes),
    )


@pytest.mark.parametrize(
    ('from_version', 'version', 'full', 'taken'),
    [
        (1, 2, False, True),
        (2, 3, False, False),
        (0, 2, False, False),
        (0, 0, True, False),
        (0, 5, True, True),
    ],
)
def test_configuration_follows_and_never_reverts(
    from_version: int,
    version: int,
    full: bool,
    taken: bool,
) -> None:
    view = view_of(*BASE)
    delta = Delta(from_version=from_version, version=version, full=full)
    assert view.apply(delta) is taken
    assert view.version == (version if taken else 1)


def test_selectors_follow_whatever_changes() -> None:
    view = view_of(*BASE)
    pool = PoolName('p')
    assert view.reachable_pools(AccountName('a')) == (pool,)
    assert view.reachable_pools(AccountName('b')) == ()
    rule = Rule(name='out', effect=Effect.leaving, upstreams='region=south')
    change(view, written(rule))
    assert [one.name for one in view.in_service(pool)] == ['u1']
    change(view, written(upstream('u1', kind='engine', region='south')))
    assert not view.may_dispatch(pool, U1)
    change(view, ResourceChange(kind='rule', name='out', deleted=True))
    assert view.may_dispatch(pool, U1)
    change(view, written(Pool(name='p', upstreams='region=south,kind!=engine')))
    assert not view.may_dispatch(pool, U1)
    change(view, written(Account(name='b', labels={'tier': 'gold'})))
    assert view.reachable_pools(AccountName('b')) == (pool,)


def test_deleted_key_authenticates_nobody() -> None:
    view = view_of(*BASE)
    change(view, written(Account(name='a', key_hashes=('new',))))
    assert 'h' not in view.account_by_key
    assert view.apply(Delta(full=True, version=9))
    assert not view.account_by_key


@pytest.mark.parametrize(
    ('work', 'urgency'),
    [
        ('confirm', Urgency.urgent),
        ('draft', Urgency.deferrable),
        ('else', Urgency.normal),
    ],
)
def test_urgency_is_stated_by_rules(work: str, urgency: Urgency) -> None:
    assert view_of(*BASE).urgency_of({'work': work}) is urgency


def test_box_leaves_by_rule() -> None:
    view = view_of(Rule(name='out', effect=Effect.leaving, boxes='domain=south'))
    assert view.box_is_leaving('r', 'south')
    assert not view.box_is_leaving('r', 'north')


def test_lease_counts_from_when_it_was_asked_for() -> None:
    clock = [0.0]
    lease = ConfigurationLease(lambda: clock[0])
    assert not lease.is_live()
    number = lease.next_beat()
    clock[0] = 2.0
    lease.renew(number, 3.0)
    assert lease.is_live()
    clock[0] = 2.9
    assert not lease.is_live(), 'the answer used up 2 of the 3 seconds'


def test_answer_to_an_unknown_beat_grants_nothing() -> None:
    clock = [0.0]
    lease = ConfigurationLease(lambda: clock[0])
    number = lease.next_beat()
    lease.renew(number + 1, 3.0)
    assert not lease.is_live()
    lease.renew(number, 3.0)
    clock[0] = 10.0
    lease.renew(number, 3.0)
    assert not lease.is_live()


def shard(epoch: int) -> ShardEntry:
    """Return the directory entry of a shard at an epoch."""
    return ShardEntry(shard='p/0', router='r', epoch=epoch)


def test_late_message_of_an_earlier_epoch_is_ignored() -> None:
    directory = FleetDirectory()
    directory.update(Directory(shards=[shard(2)]))
    directory.update(Directory(shards=[shard(1)]))
    assert directory.shards[ShardId('p/0')].epoch == 2


def test_directory_differences_add_up() -> None:
    one = DirectoryState(1, {'x': RouterEntry(incarnation='x')}, {})
    two = DirectoryState(
        2,
        {'y': RouterEntry(incarnation='y')},
        {ShardId('p/0'): shard(1)},
    )
    directory = FleetDirectory()
    directory.update(difference(None, one))
    directory.update(difference(one, two))
    assert set(directory.routers) == {Incarnation('y')}
    assert set(directory.shards) == {ShardId('p/0')}


def sums(**costs: int) -> list[UsageSum]:
    """Return usage sums of accounts in one shard."""
    return [UsageSum(shard='p/0', account=one, cost=n) for one, n in costs.items()]


def test_usage_counts_once_if_repeated_or_late() -> None:
    table = UsageTable()
    for report in (sums(a=10), sums(a=30), sums(a=10), sums(a=30)):
        table.merge('life', report)
    table.merge('other', sums(a=5))
    table.retire('life')
    table.merge('life', sums(a=40))
    assert table.by_account['a'] == 35
    assert [one.cost for one in table.usage_outside('q/0', 0)] == [35]
    assert [one.cost for one in table.usage_outside('p/0', 0)] == [0]
    assert not list(table.usage_outside('q/0', table.position))


def test_placement_prefers_the_cache_unless_it_is_full() -> None:
    record = CacheIndex()
    record.add(U1, (1, 2))
    record.add(U2, (), 'session')
    assert record.lookup((1, 2, 3), '') == U1
    assert record.lookup((1,), 'session') == U2
    assert record.lookup((9,), '') is None
    assert choose_upstream({U1: 1, U2: 5}, U1) == U1
    assert choose_upstream({U1: 0, U2: 5}, U1) == U2
    assert choose_upstream({U1: 0, U2: -1}, U1) is None


def test_record_of_caches_is_bounded_and_takes_hints() -> None:
    record = CacheIndex(max_entries=3)
    record.add(U1, range(10))
    assert list(record.blocks) == [7, 8, 9]
    record.forget(U2, [9])
    record.forget(U1, [8])
    assert list(record.blocks) == [7, 9]


def test_addresses_are_stable_and_spread_over_domains() -> None:
    routers = [
        RouterEntry(
            router=f'r{n}',
            domain=f'd{n % 3}',
            http_address=f'a{n}',
            leaving=n == 0,
        )
        for n in range(12)
    ]
    first = addresses_for(AccountName('x'), routers, 3)
    assert first == addresses_for(AccountName('x'), reversed(routers), 3)
    assert len({int(one[1:]) % 3 for one in first}) == 3
    assert 'a0' not in addresses_for(AccountName('x'), routers, 12)
    kept = addresses_for(AccountName('x'), routers[:-1], 3)
    assert len(set(first) & set(kept)) >= 2
