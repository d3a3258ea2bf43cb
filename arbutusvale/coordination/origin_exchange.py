"""Exchange of stream origins among edge routers.

A caller may resume a stream at any router, also when the one that served it
is gone.  Each origin is copied to a few peers, chosen by rendezvous hashing
of the attempt id; a router that doesn't know an origin asks the peers that
rank highest for it.
"""

import asyncio
from collections.abc import Callable

from arbutusvale.protocol import stream_origin
from arbutusvale.state import rendezvous
from arbutusvale.state import stream_origins

# Copies beside the router's own: two datagrams and two routers may be lost.
COPIES = 3
# More than the copies, as routers don't all know the same peers.
QUERIED_PEERS = 8
# Peers in another data centre answer in a few milliseconds.
QUERY_TIMEOUT_S = 0.06
MAX_QUERY_ROUNDS = 3


class OriginExchange:
    """Sender of this router's origins and client for those of its peers.

    ``list_live`` returns the hosts that get copies, ``list_known_hosts``
    those that are asked; ``send`` transmits a datagram to a host.
    """

    def __init__(
        self,
        host: str,
        origins: stream_origins.StreamOrigins,
        list_live: Callable[[], list[str]],
        list_known_hosts: Callable[[], list[str]],
    ):
        self.host = host
        self.origins = origins
        self.list_live = list_live
        self.list_known_hosts = list_known_hosts
        self.send: Callable[[str, bytes], None] = _discard
        self.on_holder_message: Callable[
            [stream_origin.HolderQuery | stream_origin.HolderAnswer], None
        ] = _ignore_holder_message
        self.pending: dict[str, asyncio.Event] = {}

    def record(self, origin: stream_origin.StreamOrigin) -> None:
        """Store an origin and copy it to peers."""
        self.origins.put(origin)
        data = stream_origin.encode(origin)
        for host in _rank(origin.attempt_id, self.list_live(), COPIES):
            self.send(host, data)

    def receive(self, message: stream_origin.OriginMessage) -> None:
        """Store a peer's origin, or answer a peer's query if possible."""
        match message:
            case stream_origin.StreamOrigin(attempt_id):
                self.origins.put(message)
                found = self.pending.get(attempt_id)
                if found is not None:
                    found.set()
            case stream_origin.OriginQuery(host, attempt_id):
                origin = self.origins.find(attempt_id)
                if origin is not None and host != self.host:
                    self.send(host, stream_origin.encode(origin))
            case stream_origin.HolderQuery() | stream_origin.HolderAnswer():
                self.on_holder_message(message)

    async def find(self, attempt_id: str) -> stream_origin.StreamOrigin | None:
        """Return an origin, asking peers if needed; None if none knows it.

        Peers that don't know it stay silent, so None takes the whole time
        of all rounds.
        """
        origin = self.origins.find(attempt_id)
        hosts = _rank(attempt_id, self.list_known_hosts(), QUERIED_PEERS)
        if origin is not None or not hosts:
            return origin
        found = self.pending.setdefault(attempt_id, asyncio.Event())
        query = stream_origin.encode(
            stream_origin.OriginQuery(self.host, attempt_id)
        )
        try:
            for _ in range(MAX_QUERY_ROUNDS):
                for host in hosts:
                    self.send(host, query)
                try:
                    async with asyncio.timeout(QUERY_TIMEOUT_S):
                        await found.wait()
                except TimeoutError:
                    continue
                break
        finally:
            self.pending.pop(attempt_id, None)
        return self.origins.find(attempt_id)


def _rank(attempt_id: str, hosts: list[str], count: int) -> list[str]:
    """Return the hosts that rank highest for an attempt."""
    if len(hosts) <= count:
        return hosts
    ranking = rendezvous.Ranking(hosts, vectorise=False)
    return ranking.rank(attempt_id, count)


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""


def _ignore_holder_message(
    message: stream_origin.HolderQuery | stream_origin.HolderAnswer,
) -> None:
    """Do nothing; the default callback for messages on caches."""
