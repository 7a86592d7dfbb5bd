"""``GET /v1/addresses``: the entry addresses of an account.

Shuffle sharding: each account gets a small, stable subset of the routers,
spread over failure domains.  Overload by one account then doesn't reach every
router, and few accounts share all of their routers.
"""

from collections.abc import Iterable

from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import AccountName
from hitchdeck_core.wire.hitchdeck_pb2 import RouterEntry
from hitchdeck_router.serving.base import BaseHandler


def addresses_for(
    account: AccountName,
    routers: Iterable[RouterEntry],
    count: int,
) -> list[str]:
    """Return the addresses of up to ``count`` routers, in order of preference.

    Each next router is in a failure domain with the fewest chosen so far.
    """
    serving = {one.router: one for one in routers if not one.leaving}
    order = ranked(account, serving)
    taken: dict[str, int] = {}
    chosen: list[str] = []

    def used(name: str) -> int:
        return taken.get(serving[name].domain, 0)

    while order and len(chosen) < count:
        name = min(order, key=used)
        order.remove(name)
        entry = serving[name]
        taken[entry.domain] = taken.get(entry.domain, 0) + 1
        chosen.append(entry.http_address)
    return chosen


class AddressesDoor(BaseHandler):
    """Handler of ``/v1/addresses``."""

    async def get(self) -> None:
        """Return the addresses and their time to live in seconds."""
        await self.run(self._serve())

    async def _serve(self) -> None:
        account = self.check_account()
        settings = self.context.settings
        addresses = addresses_for(
            account,
            self.context.fleet.directory.routers.values(),
            settings.addresses_per_account,
        )
        await self.finish(
            {
                'addresses': addresses,
                'ttl': settings.address_ttl,
                'version': self.context.fleet.view.version,
            },
        )
