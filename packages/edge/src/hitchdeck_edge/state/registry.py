"""Registry of upstreams, merged from their reports over every path.

It is soft state and needs no quorum.  The newer record of an incarnation wins,
suspicions of a crash are merged by the sequence of the report that clears them, and a
later incarnation of an instance ends the earlier ones.  Each of these merges is a
maximum, so records converge to the same state in any order, and each box keeps its
last state while no hub is reachable.
"""

from collections.abc import Iterable
from dataclasses import replace
from operator import attrgetter

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import (
    Address,
    InstanceName,
    PoolName,
    UpstreamIncarnation,
    UpstreamName,
)
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.upstreams import Phase, Suspicion, Upstream, incarnation_name
from hitchdeck_edge.state.cold import ColdUpstreams

GONE_RETENTION_SECONDS = 120.0
"""Time for which the record of a gone upstream is kept.  It is far longer than a report
can be delayed by a lost link; records are dropped after it to bound memory."""

_NO_NAME = UpstreamName('')


class Registry:
    """All known upstreams.

    Attributes
    ----------
    changes
        Number of the last change.
    departures
        Number of changes of upstreams that are leaving or gone.
    change_numbers
        Number of the last change of each record.
    last_heard
        Time of the last report of each upstream, in seconds of the given clock.
    changed_at
        Time of the last change of each record, likewise.
    holders
        The upstream that reported each address last.
    latest
        The latest known incarnation of each instance, gone or not.
    superseded
        Incarnations that were replaced by a later one of their instance.
    displaced
        Upstreams at whose address another one was first reported since.
    cold
        Which upstreams are cold.
    closed_domains
        Failure domains whose upstreams get no new work.
    serving_cache, serving_cached_at
        Results of ``serving``, and the number of the change that they are based on.
    hears_reports
        Whether upstreams report to this process.  Only such a process suspects the
        earlier holder of an address, since only reports clear a suspicion.
    """

    def __init__(
        self, now: Clock, changed: Signal, *, hears_reports: bool = True
    ) -> None:
        self.now = now
        self.hears_reports = hears_reports
        self.records: dict[UpstreamName, Upstream] = {}
        self.change_numbers: dict[UpstreamName, int] = {}
        self.last_heard: dict[UpstreamName, float] = {}
        self.changed_at: dict[UpstreamName, float] = {}
        self.holders: dict[Address, UpstreamName] = {}
        self.latest: dict[InstanceName, UpstreamName] = {}
        self.superseded: set[UpstreamName] = set()
        self.displaced: set[UpstreamName] = set()
        self.changes = 0
        self.departures = 0
        self.changed = changed
        self.serving_cache: dict[PoolName, list[Upstream]] = {}
        self.serving_cached_at = 0
        self.cold = ColdUpstreams(now)
        self.closed_domains: frozenset[str] = frozenset()

    def merge(self, record: Upstream, origin: str) -> bool:
        """Merge a record; tell whether it changed anything."""
        if self._is_of_earlier_incarnation(record):
            return False
        known = self.records.get(record.name)
        cold_changed = self.cold.report(record.name, record.sequence, record.cold_left)
        if record == known and not cold_changed:
            return False
        if known is not None:
            record = _merge_records(record, known)
            if record.sequence > known.sequence:
                # Another process received a later report.
                self.last_heard[record.name] = self.now()
            if not cold_changed and not _differs(record, known):
                # Store the sequence, but do not propagate a report without changes.
                self.records[record.name] = record
                return False
        self._store(record)
        logs.info(
            'upstream known',
            upstream=record.name,
            pool=record.pool,
            address=record.address,
            phase=record.phase.name,
            sequence=record.sequence,
            silent=record.unresponsive,
            cold_left=round(self.cold.seconds_left(record.name), 3),
            cleared_by=record.cleared_by,
            software=record.software,
            origin=origin,
        )
        self._end_earlier_incarnations(record)
        if known is None or known.address != record.address:
            self._suspect_holder(record, is_new=known is None)
        return True

    def hear(self, name: UpstreamName) -> None:
        """Record that a report of an upstream arrived just now."""
        self.last_heard[name] = self.now()

    def end(self, instance: InstanceName, origin: str, born: int = 0) -> UpstreamName:
        """Record that an incarnation is gone, known or not.

        Parameters
        ----------
        born
            Which incarnation of the instance; 0 for the latest known one.

        Returns
        -------
        UpstreamName
            The incarnation whose record says so: itself, or a later one.
        """
        named = incarnation_name(instance, born)
        known = self.latest_incarnation(instance)
        if known is None or (born and known.name != named):
            # ``merge`` ignores the record of an incarnation before the latest one,
            # which counts as gone already.
            known = Upstream(
                named,
                PoolName(''),
                Address(''),
                '',
                0,
                Phase.gone,
                0,
                instance=instance,
                born=born,
            )
        self.merge(replace(known, phase=Phase.gone), origin)
        return self.latest[known.instance_key]

    def latest_incarnation(self, instance: InstanceName) -> Upstream | None:
        """Return the latest known incarnation of an instance, gone or not."""
        return self.records.get(self.latest.get(instance, _NO_NAME))

    def since(self, number: int) -> list[Upstream]:
        """Return the records that changed after a change number."""
        return [
            record
            for name, record in self.records.items()
            if self.change_numbers[name] > number
        ]

    def serving(self, pool: PoolName) -> list[Upstream]:
        """Return the upstreams of a pool that may get new work.

        The list is cached until the next change, as every request needs it; callers
        must not modify it.
        """
        if self.serving_cached_at != self.changes:
            self.serving_cache = {}
            self.serving_cached_at = self.changes
        known = self.serving_cache.get(pool)
        if known is None:
            known = [
                record
                for record in self.records.values()
                if record.pool == pool and self.takes_work(record)
            ]
            self.serving_cache[pool] = known
        return known

    def takes_work(self, record: Upstream) -> bool:
        """Tell whether an upstream may get new work, by its present record.

        A request may have been placed by an earlier record, and have waited since.
        """
        present = self.records.get(record.name, record)
        open_domain = present.domain not in self.closed_domains
        return open_domain and present.phase is Phase.serving

    def close_domains(self, domains: frozenset[str]) -> list[Upstream]:
        """Stop new work to the given failure domains, and only to these.

        Returns
        -------
        list of Upstream
            The upstreams of domains that were closed before and are open now.
        """
        reopened = self.closed_domains - domains
        self.closed_domains = domains
        self.serving_cache = {}
        return [one for one in self.records.values() if one.domain in reopened]

    def mark_unresponsive(self, limit: float) -> None:
        """Suspect upstreams of which no report arrived for ``limit`` seconds."""
        horizon = self.now() - limit
        for name, record in list(self.records.items()):
            last = self.last_heard.setdefault(name, self.now())
            if (
                last < horizon
                and not record.unresponsive
                and record.phase is not Phase.gone
            ):
                logs.warning('no report of upstream', upstream=name, seconds=limit)
                self._raise_suspicion(record)

    def suspect(self, incarnation: UpstreamIncarnation) -> None:
        """Suspect that an incarnation has crashed; its next report clears this."""
        record = self.records.get(UpstreamName(incarnation))
        if record is not None:
            self._raise_suspicion(record)

    def suspicions_since(self, number: int) -> list[Suspicion]:
        """Return the suspected crashes in records changed after a change number."""
        return [
            Suspicion(record.name, record.cleared_by)
            for record in self.since(number)
            if record.unresponsive and record.phase is not Phase.gone
        ]

    def merge_suspicion(self, suspicion: Suspicion) -> None:
        """Merge a suspicion that another process raised.

        If a later report is known already, the suspicion counts as cleared; the record
        is propagated all the same and clears it at the other process.
        """
        record = self.records.get(suspicion.upstream)
        if record is None or record.phase is Phase.gone:
            return
        if suspicion.cleared_by > record.cleared_by:
            self._store(replace(record, cleared_by=suspicion.cleared_by))

    def departed(self) -> list[Upstream]:
        """Return the upstreams that are leaving or gone."""
        return [
            record
            for record in self.records.values()
            if record.phase is not Phase.serving
        ]

    def gone(self) -> set[UpstreamName]:
        """Return the upstreams that are known to be gone."""
        return {
            name for name, record in self.records.items() if record.phase is Phase.gone
        }

    def replaced(self) -> list[tuple[Upstream, Upstream]]:
        """Return superseded incarnations, each with the latest one of its instance."""
        earlier = [self.records[name] for name in self.superseded]
        latest = [self.latest_incarnation(one.instance_key) for one in earlier]
        return [
            (record, newer)
            for record, newer in zip(earlier, latest, strict=True)
            if newer is not None
        ]

    def forget_ended(self) -> None:
        """Drop upstreams gone or unresponsive for ``GONE_RETENTION_SECONDS``."""
        horizon = self.now() - GONE_RETENTION_SECONDS
        for name, record in list(self.records.items()):
            ended = record.phase is Phase.gone or record.unresponsive
            if ended and self.changed_at[name] < horizon:
                self._forget(record)

    def names(self) -> Iterable[UpstreamName]:
        """Return the names of all known upstreams, gone ones included."""
        return self.records.keys()

    def _store(self, record: Upstream) -> None:
        self.changes += 1
        self.records[record.name] = record
        self.change_numbers[record.name] = self.changes
        if record.phase is not Phase.serving:
            self.departures += 1
        self.changed_at[record.name] = self.now()
        self.last_heard.setdefault(record.name, self.now())
        self.changed.notify()

    def _is_of_earlier_incarnation(self, record: Upstream) -> bool:
        latest = self.latest_incarnation(record.instance_key)
        return latest is not None and record.incarnation_rank < latest.incarnation_rank

    def _end_earlier_incarnations(self, record: Upstream) -> None:
        """Mark the incarnation that this one replaces as gone.

        The new one has none of its requests, and nothing in its cache.
        """
        before = self.latest_incarnation(record.instance_key)
        self.latest[record.instance_key] = record.name
        if before is None or before.name == record.name:
            return
        self.superseded.add(before.name)
        logs.info('upstream restarted', upstream=before.name, now=record.name)
        if before.phase is not Phase.gone:
            self._store(replace(before, phase=Phase.gone))

    def _suspect_holder(self, record: Upstream, *, is_new: bool) -> None:
        """Suspect the previous upstream at an address that another one reports.

        The report may be a delayed one of an incarnation that is gone; then the
        next report of the suspected upstream clears the suspicion.
        """
        if record.phase is Phase.gone or not record.address:
            return
        holder = self.holders.get(record.address)
        self.holders[record.address] = record.name
        if holder is None or holder == record.name or holder not in self.records:
            return
        if is_new:
            self.displaced.add(holder)
        if self.hears_reports and self._raise_suspicion(self.records[holder]):
            logs.info('address reported by another', upstream=holder, by=record.name)

    def _raise_suspicion(self, record: Upstream) -> bool:
        if record.phase is Phase.gone or record.unresponsive:
            return False
        self._store(replace(record, cleared_by=record.sequence + 1))
        return True

    def _forget(self, record: Upstream) -> None:
        if record.phase is not Phase.serving:
            self.departures += 1
        for known in (
            self.records,
            self.change_numbers,
            self.last_heard,
            self.changed_at,
        ):
            known.pop(record.name, None)
        self.superseded.discard(record.name)
        self.displaced.discard(record.name)
        self.cold.forget(record.name)
        if self.latest.get(record.instance_key) == record.name:
            self.latest.pop(record.instance_key)
        self.serving_cache = {}
        if self.holders.get(record.address) == record.name:
            self.holders.pop(record.address)


def _merge_records(record: Upstream, known: Upstream) -> Upstream:
    """Merge two records of one incarnation."""
    if record.rank == known.rank:
        newer = max(record, known, key=_tie_break)
    else:
        newer = max(record, known, key=attrgetter('rank'))
    return replace(
        newer,
        cleared_by=max(record.cleared_by, known.cleared_by),
        # Processes of earlier builds relay records without it.
        software=newer.software or max(record.software, known.software),
    )


def _tie_break(record: Upstream) -> str:
    """Return a sort key, equal at every process, for two records of one report."""
    return str(replace(record, cleared_by=0, cold_left=0))


def _differs(record: Upstream, known: Upstream) -> bool:
    """Tell whether two records differ in more than the sequence of the report."""
    if record.unresponsive != known.unresponsive:
        return True
    return replace(record, sequence=known.sequence) != known
