"""Copies of the configuration, for routers that start in an outage."""

import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.coordination import config_copies
from arbutusvale.coordination import config_view
from arbutusvale.coordination import evacuation_view
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import evacuations
from tests import helpers_edge

HOSTS = [f'10.0.0.{number}' for number in range(6)]


class CopyLog:
    """A partition in memory; ``is_down`` makes it refuse calls."""

    def __init__(self):
        self.records = []
        self.is_down = False

    async def append(self, record):
        self.check()
        self.records.append(record)

    async def read_newest(self):
        self.check()
        return keyed_log.Page(self.records[-1:], len(self.records))

    def check(self):
        if self.is_down:
            raise errors.StoreUnavailable('status 503')


class Router:
    def __init__(self, host, logs):
        self.is_source_lost = False
        source = config_view.ConfigSource('config', records.read_configuration)
        self.config = config_view.ConfigView(source, helpers_edge.Events())
        clock = helpers_edge.Clock()
        self.evacuations = evacuation_view.EvacuationView(
            evacuations.Evacuations(clock),
            records.read_evacuated_data_centre,
            lambda: keyed_log.Position(1, 0),
            helpers_edge.Events(),
        )
        self.copies = config_copies.ConfigCopies(
            host,
            self.config,
            self.evacuations,
            logs,
            lambda: [other for other in HOSTS if other != host],
            lambda: self.is_source_lost,
            helpers_edge.Events(),
        )

    def apply(self, version):
        self.config.apply(helpers_edge.make_config(version), 'store')
        asyncio.run(self.copies.copy_if_new())

    def restore(self):
        self.is_source_lost = True
        asyncio.run(self.copies.restore())
        return self.config.version


def test_two_routers_copy_each_version_and_one_that_starts_finds_it():
    logs = [CopyLog(), CopyLog()]
    fleet = [Router(host, logs) for host in HOSTS]
    for version in (1, 2, 2):
        for router in fleet:
            router.apply(version)
    assert [len(log.records) for log in logs] == [4, 4]
    logs[0].is_down = True
    assert Router(HOSTS[0], logs).restore() == 2


def test_copy_has_the_evacuations_in_force():
    logs = [CopyLog(), CopyLog()]
    routers = [Router(host, logs) for host in HOSTS]
    record = keyed_log.Record('evacuate/north', b'{}', 5)
    for router in routers:
        router.apply(1)
        router.evacuations.update([record], None)
        router.apply(1)
    assert len(logs[0].records) == 2 * config_copies.WRITERS
    router = Router(HOSTS[0], logs)
    assert router.restore() == 1
    assert router.evacuations.state.is_evacuated('north')


def test_copy_never_replaces_a_newer_configuration():
    logs = [CopyLog(), CopyLog()]
    for host in HOSTS:
        Router(host, logs).apply(1)
    router = Router(HOSTS[0], logs)
    router.config.apply(helpers_edge.make_config(7), 'store')
    assert router.restore() == 7


@pytest.mark.parametrize('value', [b'no copy', b''])
def test_malformed_copy_is_ignored(value):
    log = CopyLog()
    log.records.append(keyed_log.Record('config', value))
    assert Router(HOSTS[0], [log]).restore() == 0


def test_store_that_refuses_copies_is_asked_once_a_version():
    logs = [CopyLog(), CopyLog()]
    for log in logs:
        log.is_down = True
    routers = [Router(host, logs) for host in HOSTS]
    for router in routers:
        router.apply(1)
    failed = sum(
        len(router.copies.events.named('config-copy-failed'))
        for router in routers
    )
    assert failed == config_copies.WRITERS * len(logs)
