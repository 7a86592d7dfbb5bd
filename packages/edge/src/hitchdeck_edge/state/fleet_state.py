"""State of the fleet that an entry box holds."""

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.scheduling.open_work import OpenWorkTable
from hitchdeck_edge.scheduling.scheduler import Scheduler, new_scheduler
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.evacuations import Evacuations, domain_closer
from hitchdeck_edge.state.origin_lookup import OriginLookup
from hitchdeck_edge.state.registry import Registry
from hitchdeck_edge.state.stream_origins import StreamOrigins


@dataclass(frozen=True, slots=True)
class FleetState:
    """State of the fleet, and the box's own scheduler, as one object.

    Attributes
    ----------
    documents
        The configuration in force.
    registry
        All known upstreams.
    open_work
        Open requests by upstream.
    quarantine
        Requests that must not be sent to any upstream.
    evacuations
        Failure domains that get no new work.
    origin_lookup
        Finds where streams began.
    """

    documents: Documents
    registry: Registry
    open_work: OpenWorkTable
    scheduler: Scheduler
    quarantine: Quarantine
    evacuations: Evacuations
    origin_lookup: OriginLookup


def new_fleet_state(settings: EntrySettings, adapter: PlatformAdapter) -> FleetState:
    """Return the state of an entry box at its start, without any configuration."""
    changed = Signal()
    documents = Documents(adapter.read_document, changed)
    registry = Registry(boot_seconds, changed, hears_reports=False)
    scheduler = new_scheduler(settings, documents, registry)
    quarantine = Quarantine(boot_seconds, Signal())
    open_work = scheduler.placement.open_work
    evacuations = Evacuations(domain_closer(registry, documents), changed)
    return FleetState(
        documents,
        registry,
        open_work,
        scheduler,
        quarantine,
        evacuations,
        OriginLookup(StreamOrigins(boot_seconds), quarantine.changed),
    )
