"""Factories and fakes for tests of the edge router."""

import json

from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import proxying


class Clock:
    """A monotonic clock that tests advance."""

    def __init__(self, now=1000.0):
        self.now = now

    def __call__(self):
        return self.now


class Events:
    """An event log that keeps its lines in memory."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def named(self, event):
        return [fields for name, fields in self.lines if name == event]


class RecordingTransport:
    """An asyncio transport that records the bytes written until its end."""

    def __init__(self):
        self.written = b''
        self.aborted = False

    def get_extra_info(self, name):
        return None

    def write(self, data):
        if not self.aborted:
            self.written += data

    def abort(self):
        self.aborted = True

    close = abort

    def can_write_eof(self):
        return False

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def get_write_buffer_size(self):
        return 0


def make_server(server_id, pool='chat', **changes):
    fields = {
        'id': server_id,
        'pool': pool,
        'address': '127.0.0.1:9',
        'data_centre': 'north',
        'slots': 8,
        'state': proxying.ServerState.READY,
        'started_at_ms': 1,
        'software_version': 'v1',
    }
    return proxying.BackendServer(**(fields | changes))


def make_bounds(**changes):
    fields = {
        'contact_s': 3.0,
        'drain_s': 2.0,
        'grace_s': 8.0,
        'config_apply_s': 2.0,
        'retry_ratio': 0.2,
        'retry_window_s': 10.0,
        'retry_reserve': 50.0,
        'load_factor': 2.0,
    }
    return edge_settings.Bounds(**(fields | changes))


def make_route(name='r', prefix='/chat/', **changes):
    """Return a route in the operators' configuration format."""
    fields = {
        'Name': name,
        'Host': 'fleet.example',
        'PathPrefix': prefix,
        'RouteType': 'idempotent',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': 'chat',
        'MaxAttempts': 2,
        'Anonymous': False,
        'StreamResume': False,
        'GapAimMs': 300,
    }
    return fields | changes


def make_config(version=1, routes=None, **changes):
    """Return a configuration in the operators' JSON format."""
    fields = {
        'Version': version,
        'Routes': routes if routes is not None else [make_route()],
        'Services': [
            {'Name': 'chat', 'HealthCheckPath': '/h', 'MaxConnections': 50}
        ],
        'Limits': {
            'MaxHeaderBytes': 4096,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 1000,
            'IdleTimeoutMs': 3000,
        },
        'Tenants': [{'Name': 'acme', 'ApiKeys': ['key-1'], 'Priority': 2}],
    }
    return json.dumps(fields | changes).encode()


def make_entry(address, **changes):
    """Return a server's entry as the server registers itself."""
    fields = {
        'Service': 'chat',
        'Address': address,
        'Zone': 'north',
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'WarmupLeftMs': 0,
        'Sequence': 1,
        'born': 1,
    }
    return json.dumps(fields | changes).encode()
