"""Settings of a hub and of an entry box; seconds, and addresses as IP:port."""

from pathlib import Path

from pydantic import Field

from hitchdeck_core.field_types import AddressText, Name, Section
from hitchdeck_edge.model.mechanisms import ALL, Mechanisms


class BoxSettings(Section):
    """What a hub and an entry box have in common.

    Attributes
    ----------
    box, domain
        Name of this process in the fleet, and its failure domain.
    seeds
        Addresses of some hubs, for boxes; the others are learned from them.
    stop_grace
        How long a planned stop may take before the process is killed.
    address_ttl
        The longest that callers may be told to keep an answer about
        addresses.
    share_window
        Span over which client accounts share capacity.
    retry_share, retry_extra, retry_window
        In each window, sends beyond the first of each request may be this
        part of all requests and so many more, over the whole fleet.
    mechanisms
        What takes part in deciding; all of it, but for measurements.
    fleet_token
        What the fleet's processes show one another.  The default only keeps
        strangers' frames out where the network itself admits the fleet alone.
    """

    box: Name
    domain: Name
    seeds: tuple[AddressText, ...] = ()
    metrics_listen: AddressText | None = None
    stop_grace: float = Field(default=8, gt=0)
    address_ttl: float = Field(default=5, gt=0)
    share_window: float = Field(default=4, gt=0)
    retry_share: float = Field(default=0.2, ge=0)
    retry_extra: int = Field(default=50, ge=0)
    retry_window: float = Field(default=10, gt=0)
    mechanisms: Mechanisms = ALL
    fleet_token: str = Field(default='hitchdeck-fleet', min_length=8)


class EntrySettings(BoxSettings):
    """An entry box: where callers and readiness checks reach it."""

    listen: AddressText
    ready_listen: AddressText


class HubSettings(BoxSettings):
    """A hub: where boxes, upstreams, operators and callers reach it.

    ``data_folder`` is absent without a disk.  ``may_found`` is set at the
    very first start of a fleet only.  ``disks_lost`` is how many disks may be
    lost at once without loss of what was accepted.  ``report_period`` is the
    time between two reports of one upstream.
    """

    listen: AddressText
    control_listen: AddressText
    directory_listen: AddressText
    data_folder: Path | None = None
    may_found: bool = False
    disks_lost: int = Field(default=1, ge=0)
    report_period: float = Field(default=1.2, gt=0)
    heartbeat: float = Field(default=0.1, gt=0, le=5)
    election_timeout: float = Field(default=0.6, gt=0, le=60)

    @property
    def voters_needed(self) -> int:
        """Return how many voters keep a majority without the lost disks."""
        return 2 * self.disks_lost + 1
