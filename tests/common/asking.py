"""Requests to a simulated site through all routes to a pool."""

from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.process import EntryBox
from standins.platform_site import Site
from standins.platform_worker import Worker

PATHS = {'llm': ('/s/', '/once/'), 'app': ('/g/', '/u/')}


def of_pool(site: Site, pool: str) -> list[Worker]:
    """Return the workers that serve a pool."""
    return [worker for worker in site.workers if worker.pool == pool]


async def ask_often(site: Site, pool: str, times: int, name: str) -> list[int]:
    """Send requests in sequence on all routes to a pool; return the statuses."""
    ask = site.ask_model if pool == 'llm' else site.ask
    paths = PATHS[pool]
    replies = [
        await ask(paths[number % len(paths)], f'{name}{number}')
        for number in range(times)
    ]
    return [reply.code for reply in replies]


def choose_by_name(box: EntryBox) -> None:
    """Have a box send each request to the upstreams in the order of their names."""
    registry = box.link.known.registry

    async def choose(context: RequestContext) -> Choice | Refusal:
        serving = registry.serving(context.pool.name)
        left = [one for one in serving if one.name not in context.tried]
        if not left:
            return Refusal.no_upstream
        return Choice(min(left, key=lambda one: one.name), 0, 0)

    box.admission.dispatcher.chooser.choose = choose  # type: ignore[method-assign]
