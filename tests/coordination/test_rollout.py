import asyncio

from arbutusvale import errors
from arbutusvale.coordination import config_reader
from arbutusvale.coordination import rollout
from arbutusvale.protocol import admin_api
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as made
from tests import helpers_fakes as fakes

FIRST = made.make_record('v1')
PARENT = signing.digest(FIRST)


class FakeFleet:
    """List two VMs; ``reports`` holds the offset that each reports."""

    def __init__(self, **reports):
        self.reports = reports

    async def read(self):
        return [
            ports.Vm(name, 'router', '', name, 'dc-1', '', 'live')
            for name in self.reports
        ]

    async def read_status(self, name, admin):
        offset = self.reports[name]
        if offset is None:
            raise errors.ServerUnreachable(admin, 'refused')
        return admin_api.VmStatus(offset, f'v{offset}', '')


def make_rollout(log, fleet):
    chain = bundle_chain.BundleChain({'ana': made.ANA.public})
    reader = config_reader.ConfigReader(log, chain)
    return rollout.Rollout(reader, fleet, fleet.read_status, 0.3)


@fakes.asynchronous
async def test_accepted_bundle_is_in_force_everywhere():
    log = fakes.FakeLog()
    fleet = FakeFleet(a=0, b=1)
    outcome = await make_rollout(log, fleet).publish(FIRST, 1.0)
    assert isinstance(outcome, rollout.InForceEverywhere)
    assert outcome.version == 'v1'
    assert outcome.vms == 2


@fakes.asynchronous
async def test_laggards_are_named_with_what_they_report():
    fleet = FakeFleet(a=0, b=-1, c=None)
    outcome = await make_rollout(fakes.FakeLog(), fleet).publish(FIRST, 0.0)
    assert isinstance(outcome, rollout.Laggards)
    assert [each.vm for each in outcome.names] == ['b', 'c']
    assert outcome.names[1].found == 'not reachable'


@fakes.asynchronous
async def test_loser_of_a_race_is_told_who_won():
    log = fakes.FakeLog()
    await log.append('config', FIRST)
    publisher = make_rollout(log, FakeFleet(a=1))
    await publisher.read_head()
    rival = made.make_record('v2b', PARENT, 'bia', made.BIA)
    await log.append('config', rival)
    outcome = await publisher.publish(made.make_record('v2a', PARENT), 1.0)
    assert outcome == rollout.LostRace('v2b', 'bia')


@fakes.asynchronous
async def test_record_with_an_old_parent_is_not_appended():
    log = fakes.FakeLog()
    await log.append('config', FIRST)
    await log.append('config', made.make_record('v2', PARENT))
    publisher = make_rollout(log, FakeFleet(a=1))
    await publisher.read_head()
    outcome = await publisher.publish(made.make_record('v3', PARENT), 1.0)
    assert outcome == rollout.LostRace('v2', 'ana')
    assert len(log.streams['config']) == 2


@fakes.asynchronous
async def test_record_of_an_unknown_operator_is_refused():
    log = fakes.FakeLog()
    record = made.make_record('v1', b'', 'eve', made.BIA)
    outcome = await make_rollout(log, FakeFleet(a=1)).publish(record, 1.0)
    assert isinstance(outcome, rollout.Refused)
    assert not log.streams


@fakes.asynchronous
async def test_lost_append_answer_is_found_in_the_log():
    log = fakes.FakeLog()
    log.lose_answers = 1
    outcome = await make_rollout(log, FakeFleet(a=0)).publish(FIRST, 1.0)
    assert isinstance(outcome, rollout.InForceEverywhere)


@fakes.asynchronous
async def test_outcome_is_unknown_when_the_log_stays_down():
    log = fakes.FakeLog()
    log.lose_answers = 1
    publisher = make_rollout(log, FakeFleet(a=0))

    async def append_and_fail(stream, data):
        log.down = True
        raise errors.AppendOutcomeUnknown(stream, 'cut')

    log.append = append_and_fail
    outcome = await publisher.publish(FIRST, 1.0)
    assert isinstance(outcome, rollout.OutcomeUnknown)


@fakes.asynchronous
async def test_head_rolled_out_again_is_not_appended():
    log = fakes.FakeLog()
    await log.append('config', FIRST)
    publisher = make_rollout(log, FakeFleet(a=0))
    await publisher.read_head()
    outcome = await publisher.publish(FIRST, 1.0)
    assert isinstance(outcome, rollout.InForceEverywhere)
    assert len(log.streams['config']) == 1


@fakes.asynchronous
async def test_reader_of_a_cut_log_waits_for_the_restated_head():
    log = fakes.FakeLog()
    head = made.make_record('v2', PARENT)
    rival = made.make_record('v2b', PARENT)
    for record in (FIRST, rival, head):
        await log.append('config', record)
    log.oldest['config'] = 1
    chain = bundle_chain.BundleChain({'ana': made.ANA.public})
    reader = config_reader.ConfigReader(log, chain, 0.5)
    reading = asyncio.create_task(reader.read_to_end())
    await fakes.wait_for(lambda: chain.has_conflict)
    assert not reading.done()
    await log.append('config', head)
    await reading
    assert chain.head.version == 'v2'
    assert chain.head.offset == 3
