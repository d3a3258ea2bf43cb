import asyncio

from arbutusvale.coordination import handover
from arbutusvale.protocol import messages
from arbutusvale.state import directory
from arbutusvale.state import fleet
from arbutusvale.state import rendezvous
from tests import helpers_sidecar as helpers

NAMES = ['s2', 's3']


class FakeEngine:
    def __init__(self, caches=(), accepts_caches=True):
        self.caches = dict.fromkeys(caches, b'kv')
        self.accepts_caches = accepts_caches

    async def export_cache(self, chat):
        return self.caches.get(chat, b'')

    async def import_cache(self, chat, data):
        if self.accepts_caches:
            self.caches[chat] = data
        return self.accepts_caches


def make_handover(engine):
    vm_fleet = fleet.Fleet()
    vm_fleet.replace([helpers.make_vm(name) for name in ['s1', *NAMES]])
    links = helpers.FakeLinks()
    for name in NAMES:
        links.links[name] = helpers.FakeLink(name)
    clock = helpers.Clock()
    cache_directory = directory.Directory(1000)
    chat_handover = handover.ChatHandover(
        's1', 'panel', cache_directory, vm_fleet, links, engine, clock
    )
    return chat_handover, clock


def list_sent(chat_handover, kind):
    return {
        name: [m for m in link.sent if isinstance(m, kind)]
        for name, link in chat_handover.links.links.items()
    }


def test_entries_go_to_the_next_homes_in_bounded_messages():
    chat_handover, _ = make_handover(None)
    for number in range(300):
        chat_handover.directory.record(f'c{number}', 's3')
    chat_handover.directory.record('own', 's1')
    assert asyncio.run(chat_handover.send_directory_entries()) == 300
    for name, messages_sent in list_sent(
        chat_handover, messages.HandOver
    ).items():
        for message in messages_sent:
            assert len(message.placements) <= handover.MAX_ENTRIES_PER_MESSAGE
            homes = {
                rendezvous.first(placement.chat, NAMES)
                for placement in message.placements
            }
            assert homes == {name}


def test_caches_are_sent_until_the_deadline():
    engine = FakeEngine(['c1', 'c2'])
    chat_handover, clock = make_handover(engine)
    for chat in ('c0', 'c1', 'c2'):
        chat_handover.directory.record(chat, 's1')
    assert asyncio.run(chat_handover.send_caches(clock.now + 1)) == 2
    copies = list_sent(chat_handover, messages.CacheCopy)
    home = rendezvous.first('c2', NAMES)
    assert messages.CacheCopy('c2', b'kv') in copies[home]
    assert asyncio.run(chat_handover.send_caches(clock.now)) == 0


def test_unreachable_home_loses_only_its_entries():
    chat_handover, _ = make_handover(None)
    for number in range(50):
        chat_handover.directory.record(f'c{number}', 's3')
    chat_handover.links.drop('s2')
    count = asyncio.run(chat_handover.send_directory_entries())
    assert 0 < count < 50


def test_imported_cache_is_recorded_only_if_the_engine_accepts_it():
    for accepts_caches in (True, False):
        chat_handover, _ = make_handover(
            FakeEngine(accepts_caches=accepts_caches)
        )
        asyncio.run(
            chat_handover.receive_cache(messages.CacheCopy('c1', b'kv'))
        )
        assert chat_handover.directory.find('c1') == (
            's1' if accepts_caches else ''
        )
