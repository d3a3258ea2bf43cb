import asyncio

from arbutusvale.coordination import handover
from arbutusvale.protocol import messages
from arbutusvale.state import directory
from arbutusvale.state import fleet
from arbutusvale.state import rendezvous
from tests import helpers_sidecar as helpers

NAMES = ['s2', 's3']


class Engine:
    def __init__(self, caches=(), room=True):
        self.caches = dict.fromkeys(caches, b'kv')
        self.room = room

    async def export_cache(self, chat):
        return self.caches.get(chat, b'')

    async def import_cache(self, chat, data):
        if self.room:
            self.caches[chat] = data
        return self.room


def make(engine):
    known = fleet.Fleet()
    known.replace([helpers.make_vm(name) for name in ['s1', *NAMES]])
    links = helpers.FakeLinks()
    for name in NAMES:
        links.links[name] = helpers.FakeLink(name)
    clock = helpers.Clock()
    table = directory.Directory(1000)
    moving = handover.ChatHandover(
        's1', 'panel', table, known, links, engine, clock
    )
    return moving, clock


def sent(moving, kind):
    return {
        name: [m for m in link.sent if isinstance(m, kind)]
        for name, link in moving.links.links.items()
    }


def test_entries_go_to_the_next_homes_in_bounded_messages():
    moving, _ = make(None)
    for number in range(300):
        moving.directory.record(f'c{number}', 's3')
    moving.directory.record('own', 's1')
    assert asyncio.run(moving.send_entries()) == 300
    for name, messages_sent in sent(moving, messages.HandOver).items():
        for message in messages_sent:
            assert len(message.placements) <= handover.ENTRIES_PER_MESSAGE
            homes = {
                rendezvous.first(place.chat, NAMES)
                for place in message.placements
            }
            assert homes == {name}


def test_warmest_caches_go_first_until_the_deadline():
    engine = Engine(['c1', 'c2'])
    moving, clock = make(engine)
    for chat in ('c0', 'c1', 'c2'):
        moving.directory.record(chat, 's1')
    assert asyncio.run(moving.send_caches(clock.now + 1)) == 2
    copies = sent(moving, messages.CacheCopy)
    home = rendezvous.first('c2', NAMES)
    assert messages.CacheCopy('c2', b'kv') in copies[home]
    assert asyncio.run(moving.send_caches(clock.now)) == 0


def test_unreachable_home_loses_only_its_entries():
    moving, _ = make(None)
    for number in range(50):
        moving.directory.record(f'c{number}', 's3')
    moving.links.drop('s2')
    count = asyncio.run(moving.send_entries())
    assert 0 < count < 50


def test_imported_cache_is_recorded_only_when_taken():
    for room in (True, False):
        moving, _ = make(Engine(room=room))
        asyncio.run(moving.receive_cache(messages.CacheCopy('c1', b'kv')))
        assert moving.directory.find('c1') == ('s1' if room else '')
