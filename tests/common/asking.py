"""Requests to a simulated site through all routes to a pool."""

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
