"""State shared by the HTTP handlers and the dispatch of a router."""

from collections import Counter
from dataclasses import dataclass, field

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_core.histograms import Histograms
from hitchdeck_core.ids import Incarnation
from hitchdeck_core.quarantine.crash_detector import CrashDetector
from hitchdeck_core.settings import RouterSection
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_router.dispatch.budget import RetryBudget
from hitchdeck_router.dispatch.ledger import Ledger
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.scheduling.host import SchedulerHost
from hitchdeck_router.scheduling.slots import SlotFinder


@dataclass(slots=True)
class RouterContext:
    """State and components of one router.

    Attributes
    ----------
    outcomes
        Number of requests by handler class and outcome.
    active
        Number of requests in flight.
    leaving
        Whether the router is draining.
    """

    box: str
    domain: str
    incarnation: Incarnation
    settings: RouterSection
    fleet: Fleet
    finder: SlotFinder
    host: SchedulerHost
    ledger: Ledger
    histograms: Histograms
    supervisor: Supervisor
    crash_detector: CrashDetector
    backpressure: Backpressure
    budget: RetryBudget = field(default_factory=RetryBudget)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    active: int = 0
    leaving: bool = False
