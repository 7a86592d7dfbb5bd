"""The configuration that is in force at this router.

Selectors are evaluated on changes, not per request: a changed upstream is
matched against every rule and pool, and a changed rule or pool against the
candidates from the label index.
"""

from collections.abc import Iterable

from hitchdeck_core.ids import (
    AccountName,
    PoolName,
    SessionName,
    SoftwareVersion,
    UpstreamName,
)
from hitchdeck_core.labels import check_selector
from hitchdeck_core.resources import (
    Account,
    Effect,
    Pool,
    Resource,
    Rule,
    Session,
    Upstream,
    Urgency,
    parse_resource,
)
from hitchdeck_core.wire.hitchdeck_pb2 import Delta, ResourceChange
from hitchdeck_router.fleet.index import LabelIndex


class FleetView:
    """Resources at one version, and the results of their selectors.

    Attributes
    ----------
    account_by_key
        Account by key hash.
    members
        Upstreams that each pool selects.
    leaving_by_rule
        Upstreams that each rule drains.
    pools_by_account
        Cache of the pools that each account may use, cleared on changes.
    """

    def __init__(self) -> None:
        self.version = 0
        self.accounts: dict[AccountName, Account] = {}
        self.pools: dict[PoolName, Pool] = {}
        self.upstreams: dict[UpstreamName, Upstream] = {}
        self.sessions: dict[SessionName, Session] = {}
        self.rules: dict[str, Rule] = {}
        self.index = LabelIndex()
        self.account_by_key: dict[str, AccountName] = {}
        self.members: dict[PoolName, set[UpstreamName]] = {}
        self.leaving_by_rule: dict[str, set[UpstreamName]] = {}
        self.pools_by_account: dict[AccountName, tuple[PoolName, ...]] = {}

    def apply(self, delta: Delta) -> bool:
        """Apply a delta; return ``False`` if it doesn't follow this version.

        A delta to an earlier version is refused: configuration never reverts.
        """
        follows = delta.full or delta.from_version == self.version
        if not follows or delta.version < self.version:
            return False
        if delta.full:
            self._replace_all(delta)
        else:
            for change in delta.changes:
                self._apply_change(change)
        self.version = int(delta.version)
        self.pools_by_account.clear()
        return True

    def is_leaving(self, upstream: UpstreamName) -> bool:
        """Return whether a rule drains an upstream."""
        return any(upstream in chosen for chosen in self.leaving_by_rule.values())

    def box_is_leaving(self, box: str, domain: str) -> bool:
        """Return whether a rule drains an entry box."""
        labels = {'name': box, 'domain': domain}
        return any(
            check_selector(rule.boxes).matches(labels)
            for rule in self.rules.values()
            if rule.effect is Effect.leaving and rule.boxes
        )

    def in_service(self, pool: PoolName) -> list[Upstream]:
        """Return the upstreams of a pool that accept new requests."""
        return [
            self.upstreams[name]
            for name in self.members.get(pool, ())
            if not self.is_leaving(name)
        ]

    def may_dispatch(self, pool: PoolName, upstream: UpstreamName) -> bool:
        """Return whether an upstream is in a pool and not leaving."""
        return upstream in self.members.get(pool, ()) and not self.is_leaving(
            upstream,
        )

    def other_versions(
        self, pool: PoolName, software: SoftwareVersion
    ) -> set[UpstreamName]:
        """Return the upstreams of a pool whose software version is another one."""
        return {
            name
            for name in self.members.get(pool, ())
            if self.upstreams[name].software != software
        }

    def reachable_pools(self, account: AccountName) -> tuple[PoolName, ...]:
        """Return the pools that access rules allow an account to use."""
        if account not in self.pools_by_account:
            self.pools_by_account[account] = tuple(self._pools_open_to(account))
        return self.pools_by_account[account]

    def urgency_of(self, labels: dict[str, str]) -> Urgency:
        """Return the urgency of a request with these labels."""
        effects = {
            rule.effect
            for rule in self.rules.values()
            if rule.effect in {Effect.urgent, Effect.deferrable}
            and check_selector(rule.requests).matches(labels)
        }
        if Effect.urgent in effects:
            return Urgency.urgent
        if Effect.deferrable in effects:
            return Urgency.deferrable
        return Urgency.normal

    def _pools_open_to(self, account: AccountName) -> Iterable[PoolName]:
        labels = self.accounts[account].all_labels()
        open_rules = [
            rule
            for rule in self.rules.values()
            if rule.effect is Effect.access
            and check_selector(rule.accounts).matches(labels)
        ]
        for name, pool in sorted(self.pools.items()):
            pool_labels = pool.all_labels()
            if any(
                check_selector(rule.pools).matches(pool_labels) for rule in open_rules
            ):
                yield name

    def _replace_all(self, delta: Delta) -> None:
        """Apply a full configuration, upstreams before the selectors.

        Otherwise each upstream would be matched against every selector, which
        takes seconds at the start of a router with 12,000 upstreams.
        """
        self._remove_all_but(delta.changes)
        others = []
        for change in delta.changes:
            resource = parse_resource(change.body)
            if isinstance(resource, Upstream):
                self._store_upstream(resource)
            else:
                others.append(resource)
        for resource in others:
            self._put(resource)

    def _remove_all_but(self, changes: Iterable[ResourceChange]) -> None:
        kept = {(change.kind, change.name) for change in changes}
        held = [('account', str(name)) for name in self.accounts]
        held += [('pool', str(name)) for name in self.pools]
        held += [('upstream', str(name)) for name in self.upstreams]
        held += [('session', str(name)) for name in self.sessions]
        held += [('rule', name) for name in self.rules]
        for kind, name in held:
            if (kind, name) not in kept:
                self._remove(kind, name)

    def _apply_change(self, change: ResourceChange) -> None:
        if change.deleted:
            self._remove(change.kind, change.name)
        else:
            self._put(parse_resource(change.body))

    def _put(self, resource: Resource) -> None:
        match resource:
            case Account():
                self._remove('account', resource.name)
                self.accounts[AccountName(resource.name)] = resource
                for key_hash in resource.key_hashes:
                    self.account_by_key[key_hash] = AccountName(resource.name)
            case Pool():
                self.pools[PoolName(resource.name)] = resource
                self.members[PoolName(resource.name)] = self._matching(
                    resource.upstreams,
                )
            case Upstream():
                self._put_upstream(resource)
            case Session():
                self.sessions[SessionName(resource.name)] = resource
            case Rule():
                self.rules[resource.name] = resource
                self.leaving_by_rule.pop(resource.name, None)
                if resource.effect is Effect.leaving and resource.upstreams:
                    chosen = self._matching(resource.upstreams)
                    self.leaving_by_rule[resource.name] = chosen

    def _put_upstream(self, upstream: Upstream) -> None:
        name = UpstreamName(upstream.name)
        self._store_upstream(upstream)
        labels = self.index.all_labels(name)
        for pool_name, pool in self.pools.items():
            chosen = check_selector(pool.upstreams).matches(labels)
            _set_member(self.members[pool_name], name, chosen)
        for rule_name, leaving in self.leaving_by_rule.items():
            selector = check_selector(self.rules[rule_name].upstreams)
            _set_member(leaving, name, selector.matches(labels))

    def _store_upstream(self, upstream: Upstream) -> None:
        name = UpstreamName(upstream.name)
        self.upstreams[name] = upstream
        self.index.put(name, upstream.labels)

    def _matching(self, selector_text: str) -> set[UpstreamName]:
        return self.index.matching(check_selector(selector_text))

    def _remove(self, kind: str, name: str) -> None:
        match kind:
            case 'account':
                gone = self.accounts.pop(AccountName(name), None)
                for key_hash in gone.key_hashes if gone else ():
                    self.account_by_key.pop(key_hash, None)
            case 'pool':
                self.pools.pop(PoolName(name), None)
                self.members.pop(PoolName(name), None)
            case 'upstream':
                self.upstreams.pop(UpstreamName(name), None)
                self.index.remove(UpstreamName(name))
                for chosen in (*self.members.values(), *self.leaving_by_rule.values()):
                    chosen.discard(UpstreamName(name))
            case 'session':
                self.sessions.pop(SessionName(name), None)
            case 'rule':
                self.rules.pop(name, None)
                self.leaving_by_rule.pop(name, None)


def _set_member(
    chosen: set[UpstreamName],
    name: UpstreamName,
    belongs: bool,
) -> None:
    if belongs:
        chosen.add(name)
    else:
        chosen.discard(name)
