"""Startup and graceful shutdown of a router."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from grpclib.server import Server
from tornado.httpserver import HTTPServer

from hitchdeck_core import logs
from hitchdeck_core.backpressure import Backpressure
from hitchdeck_core.channels import require_fleet_token, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.control_client import ControlClient
from hitchdeck_core.histograms import Histograms
from hitchdeck_core.ids import Incarnation
from hitchdeck_core.settings import Settings
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import RouterHello
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.ledger import Ledger
from hitchdeck_router.dispatch.quarantine import crash_detector_of
from hitchdeck_router.fleet.directory import FleetDirectory
from hitchdeck_router.fleet.lease import ConfigurationLease
from hitchdeck_router.fleet.link import ControlLink, Fleet, UsageExchange
from hitchdeck_router.fleet.traffic import Traffic
from hitchdeck_router.fleet.view import FleetView
from hitchdeck_router.scheduling.host import SchedulerHost
from hitchdeck_router.scheduling.policy import Rank, least_served
from hitchdeck_router.scheduling.service import SchedulerService
from hitchdeck_router.scheduling.slots import SlotFinder
from hitchdeck_router.serving.app import start_http

_INCARNATION_BYTES = 8
_STOP_POLL_SECONDS = 0.05
_HANDOVER_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True)
class RouterProcess:
    """A running router."""

    context: RouterContext
    link: ControlLink
    wire: Server
    http: HTTPServer
    supervisor: Supervisor

    async def drain(self) -> None:
        """Drain the router: keep serving until it can stop without harm.

        The leader is notified, so that this router's address is no longer
        handed out and its shards move to other routers.  Then it waits until
        earlier address responses have expired, and finally until the last
        request has finished or the grace period is over.
        """
        settings = self.context.settings
        self.context.leaving = True
        self.link.announce_leaving()
        logs.info('leaving', active=self.context.active)
        handover = _wait_until(self._has_handed_over)
        await _wait_at_most(handover, _HANDOVER_TIMEOUT_SECONDS)
        await asyncio.sleep(settings.address_ttl)
        idle = _wait_until(lambda: not self.context.active)
        await _wait_at_most(idle, settings.stop_grace)

    async def stop(self) -> None:
        """Stop serving and cancel all tasks."""
        self.http.stop()
        await self.http.close_all_connections()
        self.wire.close()
        await self.supervisor.stop()
        self.context.ledger.client.close()

    def _has_handed_over(self) -> bool:
        """Return whether no shard is left here, or no router could take one over."""
        if not self.context.host.shards:
            return True
        routers = self.context.fleet.directory.routers.values()
        return all(one.leaving for one in routers)


@dataclass(frozen=True, slots=True)
class SchedulingOverrides:
    """Ranking and slot finder, which benchmarks replace."""

    rank: Rank = least_served
    make_finder: type[SlotFinder] = SlotFinder


async def start_router(
    settings: Settings,
    overrides: SchedulingOverrides | None = None,
) -> RouterProcess:
    """Start a router."""
    section = settings.router
    assert section is not None, 'settings were validated before'
    supervisor = Supervisor('router')
    context = _make_context(settings, supervisor, overrides or SchedulingOverrides())
    link = _make_link(settings, context)
    wire = await serve(
        [SchedulerService(context.host)],
        section.wire_listen,
        require_fleet_token(settings.fleet_token),
    )
    http = start_http(context)
    supervisor.permanent('control-link', link.run)
    supervisor.permanent('schedulers', context.host.maintain)
    supervisor.permanent('rebalance', context.finder.rebalance)
    logs.info('router listens', address=section.listen, wire=section.wire_listen)
    return RouterProcess(context, link, wire, http, supervisor)


def _make_context(
    settings: Settings,
    supervisor: Supervisor,
    overrides: SchedulingOverrides,
) -> RouterContext:
    section = settings.router
    assert section is not None, 'settings were validated before'
    incarnation = Incarnation(secrets.token_hex(_INCARNATION_BYTES))
    fleet = Fleet(
        view=FleetView(),
        lease=ConfigurationLease(boot_seconds),
        directory=FleetDirectory(),
        traffic=Traffic(),
        now=boot_seconds,
    )
    client = ControlClient(section.control, settings.fleet_token)
    return RouterContext(
        box=settings.box,
        domain=settings.domain,
        incarnation=incarnation,
        settings=section,
        fleet=fleet,
        finder=overrides.make_finder(
            fleet,
            settings.box,
            incarnation,
            settings.fleet_token,
            supervisor,
        ),
        host=SchedulerHost(fleet, incarnation, overrides.rank),
        ledger=Ledger(client, settings.box, incarnation, supervisor),
        histograms=Histograms(boot_seconds),
        supervisor=supervisor,
        crash_detector=crash_detector_of(fleet.quarantine),
        backpressure=Backpressure(boot_seconds),
    )


def _make_link(settings: Settings, context: RouterContext) -> ControlLink:
    section = context.settings

    return ControlLink(
        context.fleet,
        RouterHello(
            router=settings.box,
            incarnation=context.incarnation,
            domain=settings.domain,
            http_address=section.listen,
            wire_address=section.wire_listen,
        ),
        section.control,
        settings.fleet_token,
        UsageExchange(
            unreported=context.finder.unreported_usage,
            restart=context.finder.reset_reported_usage,
            apply=context.host.apply_remote_usage,
        ),
    )


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(_STOP_POLL_SECONDS)


async def _wait_at_most(work: Awaitable[None], seconds: float) -> None:
    try:
        await asyncio.wait_for(work, seconds)
    except TimeoutError:
        logs.warning('stop does not wait longer', seconds=seconds)
