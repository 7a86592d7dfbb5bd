"""Finding the route and the client account of a request."""

from hitchdeck_edge.model.document import ClientAccount, Document, Route


class RoutingTable:
    """Routes by host and prefix, and accounts by key, of one document."""

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
        """Return the route with the longest prefix of a path, if any."""
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            # Every prefix ends with a slash, so only these can match.
            end = path.rfind('/', 0, end) + 1
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end -= 1
        return None

    def account(self, key: str) -> ClientAccount | None:
        """Return the client account that holds a key, if any."""
        return self.accounts.get(key)

    def allowed_areas(self, host: str) -> frozenset[str]:
        """Return the areas that are homes of some route of a host."""
        routes = self.routes.get(host, {}).values()
        return frozenset().union(*(route.allowed_areas for route in routes))
