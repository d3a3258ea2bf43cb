"""Simulated store of the platform: keyed topics, with fault injection."""

import asyncio
import base64
import json

from arbutusvale.platform import store
from arbutusvale.standins import raw_server

DEFAULT_PAGE_SIZE = 500


class StoreStandin:
    """HTTP server that keeps keyed topics in memory.

    ``fault`` is None, 'busy' (503), 'silent' (no response) or 'reset'; it
    concerns only ``faulty_topics`` unless that is None.  A partition other
    than the first is kept as a topic ``NAME/NUMBER``.
    ``first_offsets`` has the lowest readable offset of compacted topics;
    ``page_size`` limits the keys in a page of newest records.  ``era`` is
    sent with all answers unless it is None.
    """

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self.first_offsets: dict[str, int] = {}
        self.fault: str | None = None
        self.faulty_topics: set[str] | None = None
        self.call_count = 0
        self.page_size = DEFAULT_PAGE_SIZE
        self.era: int | None = 1
        self.records_appended = asyncio.Condition()
        self.server = raw_server.RawServer(self._handle)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record and wake readers; an empty value deletes the key."""
        self.records.setdefault(topic, []).append((key, value))
        async with self.records_appended:
            self.records_appended.notify_all()

    async def compact(self, topic: str) -> None:
        """Make all offsets unreadable, but keep each key's newest record."""
        self.first_offsets[topic] = len(self.records.get(topic, []))

    async def rewind(self, topic: str, count: int) -> None:
        """Remove the last records, as if restored from an older backup."""
        del self.records[topic][-count:]

    async def restore(
        self, lost_counts: dict[str, int]
    ) -> list[tuple[str, str, bytes]]:
        """Come back from an older copy without the last records of topics.

        Return what is lost: topic, key and value of each record.
        """
        lost = []
        for topic, count in lost_counts.items():
            records = self.records.get(topic, [])
            start = max(0, len(records) - count)
            lost.extend((topic, *record) for record in records[start:])
            del records[start:]
        self.era = (self.era or 0) + 1
        return lost

    async def _handle(
        self,
        request: raw_server.RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request, with ``fault`` if set."""
        self.call_count += 1
        topic = request.query['Topic']
        if request.query['part'] != '0':
            topic = f'{topic}/{request.query["part"]}'
        match self._fault_of(topic):
            case 'busy':
                writer.write(self._format_response(503, b''))
                return True
            case 'silent':
                await asyncio.sleep(3600)
            case 'reset':
                writer.transport.abort()
                return False
        match request.path:
            case store.NEWEST_PATH:
                after = request.query.get('After', '')
                response = self._newest_page(topic, after)
            case store.APPEND_PATH:
                response = await self._append_frame(topic, request.body)
            case _:
                response = await self._read_page(topic, request.query)
        if self._fault_of(topic) == 'silent':
            await asyncio.sleep(3600)
        writer.write(response)
        return True

    def _fault_of(self, topic: str) -> str | None:
        """Return the fault that concerns calls for a topic."""
        if self.faulty_topics is None or topic in self.faulty_topics:
            return self.fault
        return None

    async def _append_frame(self, topic: str, frame: bytes) -> bytes:
        """Append one framed record; return the response."""
        content = frame[4:]
        key_end = 1 + content[0]
        key = content[1:key_end].decode()
        await self.append(topic, key, content[key_end:])
        end = len(self.records[topic])
        document = {'Offset': end - 1, 'EndOffset': end}
        return self._format_response(200, json.dumps(document).encode())

    def _format_response(self, status: int, body: bytes) -> bytes:
        """Return a response with the store's era."""
        headers = {} if self.era is None else {'Store-Era': str(self.era)}
        return raw_server.format_response(status, headers, body)

    def _newest_page(self, topic: str, after: str) -> bytes:
        """Return the response with the newest record of each key.

        The page starts behind the key ``after``, in order of keys.
        """
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records.get(topic, [])):
            newest[key] = (offset, value)
        entries = [
            {
                'Key': key,
                'Data': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        document = {
            'Entries': entries[: self.page_size],
            'Truncated': len(entries) > self.page_size,
            'EndOffset': len(self.records.get(topic, [])),
        }
        return self._format_response(200, json.dumps(document).encode())

    async def _read_page(self, topic: str, query: dict[str, str]) -> bytes:
        """Return the response with the records from an offset on.

        A long poll: waits up to ``WaitMs`` for the first of them.
        """
        offset = int(query['From'])
        wait_s = int(query.get('WaitMs', '0')) / 1000
        records = self.records.setdefault(topic, [])
        if offset > len(records):
            wait_s = 0.0
        try:
            async with asyncio.timeout(wait_s), self.records_appended:
                await self.records_appended.wait_for(
                    lambda: len(records) > offset
                )
        except TimeoutError:
            # The long poll ends with a response without records.
            pass
        first_offset = self.first_offsets.get(topic, 0)
        if offset < first_offset or offset > len(records):
            document = {'FirstOffset': first_offset}
            return self._format_response(410, json.dumps(document).encode())
        frames = [
            len(records).to_bytes(8, 'big'),
            first_offset.to_bytes(8, 'big'),
        ]
        for key, value in records[offset:]:
            body = bytes([len(key)]) + key.encode() + value
            frames.append(len(body).to_bytes(4, 'big') + body)
        return self._format_response(200, b''.join(frames))
