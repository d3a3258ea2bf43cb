"""Search for the engines that have a prompt part, shared among routers.

Each engine is asked for its list by one router, found by rendezvous hashing of
the engine's id; the others ask that router.  An engine whose reader is gone is
asked directly.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools

from arbutusvale.coordination import cache_survey
from arbutusvale.protocol import proxying
from arbutusvale.protocol import stream_origin
from arbutusvale.state import rendezvous
from arbutusvale.state import server_list

# Peers in another data centre answer in a few milliseconds, unless they have
# to read an engine's list first.
QUERY_TIMEOUT_S = 0.08
MAX_QUERY_ROUNDS = 5
# A peer that gave no reply isn't asked for this time.
SILENCE_S = 3.0


@dataclasses.dataclass(slots=True)
class _PendingQuery:
    """A query to some peers; ``answers`` has tokens by server id."""

    awaited: set[str]
    answers: dict[str, int]
    finished: asyncio.Event


class HolderExchange:
    """Client for the lists that peers read, and reader for them.

    ``list_live`` returns the hosts of peers; ``send`` transmits a datagram to
    a host.
    """

    def __init__(
        self,
        host: str,
        survey: cache_survey.CacheSurvey,
        servers: server_list.ServerList,
        list_live: Callable[[], list[str]],
    ):
        self.host = host
        self.survey = survey
        self.servers = servers
        self.list_live = list_live
        self.send: Callable[[str, bytes], None] = _discard
        self.query_ids = itertools.count()
        self.pending: dict[int, _PendingQuery] = {}
        self.replies: set[asyncio.Task[None]] = set()
        # When peers last failed to reply, by host; in seconds of the loop.
        self.silent_since: dict[str, float] = {}

    async def count_tokens(
        self, servers: Sequence[proxying.BackendServer], model: str, part: str
    ) -> list[int | None]:
        """Return how much of a part each server has; None if it's unknown."""
        readers = rendezvous.Ranking(self._list_readers(), vectorise=False)
        reader_by_id = {
            server.id: readers.first(server.id) for server in servers
        }
        own = [
            server
            for server in servers
            if reader_by_id[server.id] == self.host
        ]
        counts, answers = await asyncio.gather(
            self._count_directly(own, model, part),
            self._ask_readers(reader_by_id, model, part),
        )
        counts |= answers
        missing = [server for server in servers if server.id not in counts]
        counts |= await self._count_directly(missing, model, part)
        return [counts[server.id] for server in servers]

    def receive(
        self, message: stream_origin.HolderQuery | stream_origin.HolderAnswer
    ) -> None:
        """Answer a peer's query, or take a peer's answer."""
        match message:
            case stream_origin.HolderQuery():
                task = asyncio.create_task(self._reply(message))
                self.replies.add(task)
                task.add_done_callback(self.replies.discard)
            case stream_origin.HolderAnswer(host, query_id, counts):
                query = self.pending.get(query_id)
                if query is None:
                    return
                query.answers |= counts
                query.awaited.discard(host)
                if not query.awaited:
                    query.finished.set()

    def _list_readers(self) -> list[str]:
        """List this router and the peers that reply, by host."""
        oldest = asyncio.get_running_loop().time() - SILENCE_S
        self.silent_since = {
            host: since
            for host, since in self.silent_since.items()
            if since > oldest
        }
        peers = [
            host for host in self.list_live() if host not in self.silent_since
        ]
        return [self.host, *peers]

    async def _count_directly(
        self, servers: Sequence[proxying.BackendServer], model: str, part: str
    ) -> dict[str, int | None]:
        """Return the tokens of a part by server id, from servers' lists."""
        lists = await self.survey.read(servers)
        return {
            server.id: None if parts is None else parts.get((model, part), 0)
            for server, parts in zip(servers, lists, strict=True)
        }

    async def _ask_readers(
        self, reader_by_id: dict[str, str], model: str, part: str
    ) -> dict[str, int]:
        """Return what peers answer in time, by server id."""
        hosts = set(reader_by_id.values()) - {self.host}
        if not hosts:
            return {}
        query_id = next(self.query_ids)
        query = _PendingQuery(hosts, {}, asyncio.Event())
        self.pending[query_id] = query
        datagrams = {
            host: stream_origin.encode(
                stream_origin.HolderQuery(
                    self.host,
                    query_id,
                    model,
                    part,
                    tuple(
                        server_id
                        for server_id, reader in reader_by_id.items()
                        if reader == host
                    ),
                )
            )
            for host in sorted(hosts)
        }
        try:
            for _ in range(MAX_QUERY_ROUNDS):
                for host in sorted(query.awaited):
                    self.send(host, datagrams[host])
                try:
                    async with asyncio.timeout(QUERY_TIMEOUT_S):
                        await query.finished.wait()
                except TimeoutError:
                    continue
                break
        finally:
            del self.pending[query_id]
        self._record_silence(query.awaited)
        return query.answers

    def _record_silence(self, hosts: set[str]) -> None:
        """Record and log which peers gave no reply."""
        if not hosts:
            return
        now = asyncio.get_running_loop().time()
        self.silent_since |= dict.fromkeys(hosts, now)
        self.survey.events.write(
            'cache-query-unanswered', peers=','.join(sorted(hosts))
        )

    async def _reply(self, query: stream_origin.HolderQuery) -> None:
        """Answer a query as far as this router can read servers' lists.

        The cause may be this router's link, so the others are left out.
        """
        known = [
            self.servers.by_id[server_id].server
            for server_id in query.server_ids
            if server_id in self.servers.by_id
        ]
        counts = {
            server_id: count
            for server_id, count in (
                await self._count_directly(known, query.model, query.part)
            ).items()
            if count is not None
        }
        answer = stream_origin.HolderAnswer(self.host, query.query_id, counts)
        self.send(query.host, stream_origin.encode(answer))


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""
