"""Lookup of routes in one version of the configuration."""

from arbutusvale.protocol import routing


class RouteTable:
    """The routes of a configuration by host and path prefix.

    ``applied_at`` is the monotonic time, in seconds, at which this process
    applied the configuration.
    """

    def __init__(
        self, configuration: routing.Configuration, applied_at: float
    ):
        self.configuration = configuration
        self.applied_at = applied_at
        self.by_host: dict[str, dict[str, routing.Route]] = {}
        for route in configuration.routes:
            paths = self.by_host.setdefault(route.host, {})
            paths[route.path_prefix] = route

    def find(self, host: str, path: str) -> routing.Route | None:
        """Return the route with the longest matching prefix, or None.

        Prefixes begin and end with a slash, so only the parts of the path
        that end with a slash are looked up.
        """
        paths = self.by_host.get(host)
        if paths is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = paths.get(path[: end + 1])
            if route is not None:
                return route
        return None
