"""Lookup of the route and the client account of a request."""

from hitchdeck_edge.model.document import ClientAccount, Document, Route


class RoutingTable:
    """Routes of one document by host and prefix, and its accounts by key."""

    def __init__(self, document: Document | None = None) -> None:
        self.routes: dict[str, dict[str, Route]] = {}
        self.accounts: dict[str, ClientAccount] = {}
        if document is None:
            return
        for route in document.routes:
            self.routes.setdefault(route.host, {})[route.prefix] = route
        for account in document.accounts:
            self.accounts.update((key, account) for key in account.keys)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None``."""
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            # Every prefix ends with a slash, so no other cut of the path can match.
            end = path.rfind('/', 0, end) + 1
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end -= 1
        return None

    def account(self, key: str) -> ClientAccount | None:
        """Return the client account that a key belongs to, or ``None``."""
        return self.accounts.get(key)

    def allowed_areas(self, host: str) -> frozenset[str]:
        """Return the areas that some route of a host is restricted to."""
        routes = self.routes.get(host, {}).values()
        return frozenset().union(*(route.allowed_areas for route in routes))
