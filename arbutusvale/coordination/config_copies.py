"""Copies of the configuration in a topic of the system's own.

The store may be down in part: a router that starts while the operators' topic
can't be read has no configuration, and if all routers start then, no peer has
one either.  Copies in several partitions of another topic bridge that time.

A copy counts like a configuration that was read before the store went away:
it serves routes and keys that it has, it may be old, so nothing that it lacks
is denied, and the operators' topic replaces it as soon as it can be read.  It
has the evacuations of data centres that were in force beside it.
"""

import asyncio
import base64
import binascii
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
import typing
import zlib

from arbutusvale import errors
from arbutusvale.coordination import config_view
from arbutusvale.coordination import evacuation_view
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import peer_message
from arbutusvale.state import event_log
from arbutusvale.state import rendezvous

COPY_KEY = 'config'
# Two routers write each version, as one may die before it has.
WRITERS = 2
# Versions that follow each other quickly are copied once.
CHECK_INTERVAL_S = 0.5
# While no configuration is known, callers are refused.
RESTORE_INTERVAL_S = 0.2
# Bounds the memory that a malformed copy can take.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Content:
    """The version of a copy, and era and offset of its evacuations."""

    version: int
    evacuated: dict[str, list[int]]


class CopyLog(keyed_log.KeyedLog, typing.Protocol):
    """One partition of a topic that routers write."""

    async def append(self, record: keyed_log.Record) -> None:
        """Append a record; raise StoreUnavailable."""


class ConfigCopies:
    """Writer and reader of copies, each in a partition of its own.

    ``list_live`` returns the hosts of the other routers;
    ``is_source_lost`` whether the operators' topic can't be read.
    """

    def __init__(
        self,
        host: str,
        config: config_view.ConfigView,
        evacuations: evacuation_view.EvacuationView,
        copies: Sequence[CopyLog],
        list_live: Callable[[], list[str]],
        is_source_lost: Callable[[], bool],
        events: event_log.EventLog,
    ):
        self.host = host
        self.config = config
        self.evacuations = evacuations
        self.copies = copies
        self.list_live = list_live
        self.is_source_lost = is_source_lost
        self.events = events
        # What needs no copy of this router any more.
        self.copied: _Content | None = None

    async def run(self) -> None:
        """Restore a configuration if necessary, and copy each new version."""
        while True:
            if not self.config.version:
                await asyncio.sleep(RESTORE_INTERVAL_S)
                if self.is_source_lost():
                    await self.restore()
            else:
                await asyncio.sleep(CHECK_INTERVAL_S)
                await self.copy_if_new()

    async def restore(self) -> None:
        """Apply the newest copy that can be read."""
        for copy in self.copies:
            try:
                page = await copy.read_newest()
            except errors.StoreUnavailable:
                continue
            for record in page.records:
                if record.key == COPY_KEY and record.value:
                    self.apply(record.value)

    def apply(self, value: bytes) -> None:
        """Apply a copy, unless it is malformed or not newer."""
        try:
            document = json.loads(_decompress(value))
            data = base64.b64decode(document['config'])
            evacuated = evacuation_view.parse_snapshot(document['evacuated'])
        except (
            ValueError, KeyError, TypeError, AttributeError, RecursionError,
            binascii.Error,
        ):  # fmt: skip
            return
        before = self.config.version
        self.config.apply(data, 'copy')
        if self.config.version > before:
            self.evacuations.apply_told(
                tuple(
                    peer_message.EvacuatedDataCentre(
                        name, position.era, position.offset
                    )
                    for name, position in evacuated.items()
                )
            )
            self.copied = self._read_content()

    def _read_content(self) -> _Content:
        """Return what a copy of now tells."""
        return _Content(
            self.config.version, self.evacuations.render_snapshot()
        )

    async def copy_if_new(self) -> None:
        """Write what is in force to all copies, if this router has to."""
        content = self._read_content()
        if content == self.copied or self.is_source_lost():
            return
        self.copied = content
        ranking = rendezvous.Ranking(
            [self.host, *self.list_live()], vectorise=False
        )
        if self.host not in ranking.rank(COPY_KEY, WRITERS):
            return
        document = {
            'config': base64.b64encode(self.config.raw).decode(),
            'evacuated': content.evacuated,
        }
        value = zlib.compress(json.dumps(document).encode())
        written = 0
        for copy in self.copies:
            try:
                await copy.append(keyed_log.Record(COPY_KEY, value))
                written += 1
            except errors.StoreUnavailable as error:
                self.events.write('config-copy-failed', cause=error.problem)
        self.events.write(
            'config-copied',
            version=content.version,
            evacuated=len(content.evacuated),
            copies=written,
            bytes=len(value),
        )


def _decompress(value: bytes) -> bytes:
    """Return a compressed document; raise ValueError if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(value, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError('not compressed') from error
    if not decompressor.eof:
        raise ValueError('too long')
    return data
