"""Simulated platform: log service, VM list and weight store."""

import asyncio
import base64
import collections
import dataclasses
import json
import time

from arbutusvale.standins import web_server

MAX_PAGE_RECORDS = 1000
MAX_VM_SNAPSHOTS = 1000
VM_FIELDS = (
    'name',
    'role',
    'address',
    'admin',
    'data_centre',
    'pool',
    'state',
)


@dataclasses.dataclass
class PlatformFaults:
    """Injected faults and limits of the platform; times in seconds.

    The next ``drop_append_answers`` appends take effect, but their
    connections are closed without a response.  ``vm_lag_s`` is the age of
    the VM list that is shown, and ``weights_interval_s`` the least time
    between two grants of weights.
    """

    outage: bool = False
    vm_outage: bool = False
    freeze: bool = False
    slow_s: float = 0.0
    drop_append_answers: int = 0
    vm_lag_s: float = 0.0
    retention_s: float = 3600.0
    appends_per_s: int = 500
    weights_interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a stream; ``time`` is in seconds since 1970."""

    offset: int
    time: float
    data: bytes


class Stream:
    """An append-only stream of records.

    ``next_offset`` is the offset that the next record gets.
    """

    def __init__(self):
        self.records: collections.deque[Record] = collections.deque()
        self.next_offset = 0
        self.record_appended = asyncio.Condition()

    @property
    def oldest_offset(self) -> int:
        """Return the lowest offset that is retained."""
        return self.records[0].offset if self.records else self.next_offset

    async def append(self, data: bytes) -> int:
        """Append a record, wake the readers and return its offset."""
        offset = self.next_offset
        self.next_offset += 1
        self.records.append(Record(offset, time.time(), data))
        async with self.record_appended:
            self.record_appended.notify_all()
        return offset

    def expire(self, retention_s: float) -> None:
        """Remove the records that are older than the retention."""
        limit = time.time() - retention_s
        while self.records and self.records[0].time < limit:
            self.records.popleft()

    def read_page(self, start: int) -> list[Record]:
        """Return up to one page of records from ``start`` on."""
        skipped = max(0, start - self.oldest_offset)
        last = min(len(self.records), skipped + MAX_PAGE_RECORDS)
        return [self.records[index] for index in range(skipped, last)]

    async def wait_for_record(self, start: int, seconds: float) -> None:
        """Wait up to ``seconds`` for a record at offset ``start``."""
        try:
            async with asyncio.timeout(seconds), self.record_appended:
                await self.record_appended.wait_for(
                    lambda: self.next_offset > start
                )
        except TimeoutError:
            pass


@dataclasses.dataclass(frozen=True, slots=True)
class VmSnapshot:
    """The VM list as changed at a monotonic time, in seconds."""

    time: float
    vms: dict[str, dict]


class PlatformStandin(web_server.Standin):
    """HTTP server of the platform's three services on one address."""

    def __init__(self, listen: str, **faults):
        super().__init__(listen, PlatformFaults(**faults))
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.append_times: collections.deque[float] = collections.deque()
        self.vm_snapshots = collections.deque(
            [VmSnapshot(float('-inf'), {})], maxlen=MAX_VM_SNAPSHOTS
        )
        self.next_weights_at = 0.0
        self.weights_granted = 0

    def routes(self) -> list:
        """Return the application's URL rules."""
        handler_arguments = {'standin': self}
        return [
            (r'/log/([^/]+)', LogHandler, handler_arguments),
            (r'/vms', VmListHandler, handler_arguments),
            (r'/vms/([^/]+)', VmHandler, handler_arguments),
            (r'/weights/([^/]+)/([^/]+)', WeightsHandler, handler_arguments),
            *super().routes(),
        ]

    def try_admit_append(self) -> bool:
        """Count an append; False if it exceeds the limit per second."""
        now = time.monotonic()
        while self.append_times and self.append_times[0] < now - 1.0:
            self.append_times.popleft()
        if len(self.append_times) >= self.faults.appends_per_s:
            return False
        self.append_times.append(now)
        return True

    def visible_vms(self) -> dict[str, dict]:
        """Return the VM list as of ``vm_lag_s`` ago, by name."""
        limit = time.monotonic() - self.faults.vm_lag_s
        visible = self.vm_snapshots[0]
        for snapshot in self.vm_snapshots:
            if snapshot.time <= limit:
                visible = snapshot
        return visible.vms

    def put_vm(self, vm: dict) -> None:
        """Add or replace one VM on the list."""
        self.replace_vms({**self.vm_snapshots[-1].vms, vm['name']: vm})

    def remove_vm(self, name: str) -> None:
        """Remove one VM, if it is listed."""
        vms = dict(self.vm_snapshots[-1].vms)
        vms.pop(name, None)
        self.replace_vms(vms)

    def replace_vms(self, vms: dict[str, dict]) -> None:
        """Make ``vms`` the newest list."""
        self.vm_snapshots.append(VmSnapshot(time.monotonic(), vms))


class PlatformHandler(web_server.StandinHandler):
    """Base of the handlers that are subject to faults."""

    async def prepare(self) -> None:
        """Wait while frozen, then for the injected delay."""
        await self.wait_while_frozen()
        if self.standin.faults.slow_s:
            await asyncio.sleep(self.standin.faults.slow_s)


class LogHandler(PlatformHandler):
    """Handler that appends to a stream and reads from it."""

    async def prepare(self) -> None:
        """Answer 503 during an outage."""
        await super().prepare()
        if self.standin.faults.outage:
            self.send_json({'error': 'outage'}, 503)

    async def post(self, name: str) -> None:
        """Append the body as one record."""
        if not self.standin.try_admit_append():
            self.send_json({'error': 'too many appends a second'}, 429)
            return
        offset = await self.standin.streams[name].append(self.request.body)
        if self.standin.faults.drop_append_answers > 0:
            self.standin.faults.drop_append_answers -= 1
            self.close_connection()
            return
        self.send_json({'offset': offset})

    async def get(self, name: str) -> None:
        """Return a page of records, with a long poll if there is none yet."""
        start = int(self.get_query_argument('from'))
        wait = float(self.get_query_argument('wait', '0'))
        stream = self.standin.streams[name]
        await stream.wait_for_record(start, wait)
        if self.standin.faults.outage:
            self.send_json({'error': 'outage'}, 503)
            return
        stream.expire(self.standin.faults.retention_s)
        if start < stream.oldest_offset:
            self.send_json({'oldest': stream.oldest_offset}, 410)
            return
        records = [
            {
                'offset': record.offset,
                'time': record.time,
                'data': base64.b64encode(record.data).decode(),
            }
            for record in stream.read_page(start)
        ]
        self.send_json(
            {
                'head': stream.next_offset,
                'oldest': stream.oldest_offset,
                'retention': self.standin.faults.retention_s,
                'records': records,
            }
        )


class VmListHandler(PlatformHandler):
    """Handler that reads the VM list."""

    def get(self) -> None:
        """Return the VM list as of ``vm_lag_s`` ago."""
        if self.standin.faults.vm_outage:
            self.send_json({'error': 'outage'}, 503)
            return
        self.send_json({'vms': list(self.standin.visible_vms().values())})


class VmHandler(web_server.StandinHandler):
    """Handler that changes the VM list; not subject to faults."""

    def put(self, name: str) -> None:
        """Add or replace one VM."""
        fields = json.loads(self.request.body)
        vm = {field: fields.get(field, '') for field in VM_FIELDS}
        vm['name'] = name
        self.standin.put_vm(vm)
        self.send_json(vm)

    def delete(self, name: str) -> None:
        """Remove one VM."""
        self.standin.remove_vm(name)
        self.send_json({})


class WeightsHandler(PlatformHandler):
    """Handler that grants downloads of weights at a limited rate."""

    def post(self, model: str, version: str) -> None:
        """Grant the weights, or answer 429 with the seconds to wait."""
        now = time.monotonic()
        if now < self.standin.next_weights_at:
            wait = self.standin.next_weights_at - now
            self.set_header('Retry-After', f'{wait:.3f}')
            self.send_json({'error': 'too many fetches'}, 429)
            return
        self.standin.next_weights_at = (
            now + self.standin.faults.weights_interval_s
        )
        self.standin.weights_granted += 1
        self.send_json({'model': model, 'version': version})
