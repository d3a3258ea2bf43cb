"""Interface to the prompt caches of model servers."""

import typing

from arbutusvale.protocol import proxying

# Tokens of the prompt parts that an engine has cached, by model and part id.
CachedParts = dict[tuple[str, str], int]


class EngineCaches(typing.Protocol):
    """Reader of what engines have cached."""

    async def list_parts(self, server: proxying.BackendServer) -> CachedParts:
        """Return what an engine has cached; raise ServerFailed."""
