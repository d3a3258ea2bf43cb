import asyncio

from arbutusvale import errors
from arbutusvale.coordination import config_reader
from arbutusvale.coordination import rollout
from arbutusvale.protocol import admin_api
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as helpers
from tests import helpers_fakes as fakes

FIRST = helpers.make_record('v1')
PARENT = signing.digest(FIRST)


class FakeFleet:
    """VM list and admin ports; ``reports`` has the offset by VM name.

    A VM with the offset None cannot be reached.
    """

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
    chain = bundle_chain.BundleChain({'ana': helpers.ANA.public})
    reader = config_reader.ConfigReader(log, chain)
    return rollout.Rollout(reader, fleet, fleet.read_status, 0.3)


@fakes.asynchronous
async def test_publish_waits_until_all_vms_report_the_bundle():
    log = fakes.FakeLog()
    fleet = FakeFleet(a=0, b=1)
    outcome = await make_rollout(log, fleet).publish(FIRST, 1.0)
    assert isinstance(outcome, rollout.InForceEverywhere)
    assert outcome.version == 'v1'
    assert outcome.vms == 2


@fakes.asynchronous
async def test_lagging_vms_are_listed_with_what_they_reported():
    fleet = FakeFleet(a=0, b=-1, c=None)
    outcome = await make_rollout(fakes.FakeLog(), fleet).publish(FIRST, 0.0)
    assert isinstance(outcome, rollout.Laggards)
    assert [laggard.vm for laggard in outcome.names] == ['b', 'c']
    assert outcome.names[1].found == 'not reachable'


@fakes.asynchronous
async def test_lost_race_names_the_winning_version_and_operator():
    log = fakes.FakeLog()
    await log.append('config', FIRST)
    publisher = make_rollout(log, FakeFleet(a=1))
    await publisher.read_head()
    competing = helpers.make_record('v2b', PARENT, 'bia', helpers.BIA)
    await log.append('config', competing)
    outcome = await publisher.publish(helpers.make_record('v2a', PARENT), 1.0)
    assert outcome == rollout.LostRace('v2b', 'bia')


@fakes.asynchronous
async def test_record_with_an_outdated_parent_is_not_appended():
    log = fakes.FakeLog()
    await log.append('config', FIRST)
    await log.append('config', helpers.make_record('v2', PARENT))
    publisher = make_rollout(log, FakeFleet(a=1))
    await publisher.read_head()
    outcome = await publisher.publish(helpers.make_record('v3', PARENT), 1.0)
    assert outcome == rollout.LostRace('v2', 'ana')
    assert len(log.streams['config']) == 2


@fakes.asynchronous
async def test_record_of_an_unknown_operator_is_refused():
    log = fakes.FakeLog()
    record = helpers.make_record('v1', b'', 'eve', helpers.BIA)
    outcome = await make_rollout(log, FakeFleet(a=1)).publish(record, 1.0)
    assert isinstance(outcome, rollout.Refused)
    assert not log.streams


@fakes.asynchronous
async def test_record_is_found_in_the_log_after_a_lost_append_response():
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
async def test_publishing_the_head_again_appends_nothing():
    log = fakes.FakeLog()
    await log.append('config', FIRST)
    publisher = make_rollout(log, FakeFleet(a=0))
    await publisher.read_head()
    outcome = await publisher.publish(FIRST, 1.0)
    assert isinstance(outcome, rollout.InForceEverywhere)
    assert len(log.streams['config']) == 1


@fakes.asynchronous
async def test_reader_of_a_truncated_log_waits_for_republished_head():
    log = fakes.FakeLog()
    head = helpers.make_record('v2', PARENT)
    competing = helpers.make_record('v2b', PARENT)
    for record in (FIRST, competing, head):
        await log.append('config', record)
    log.oldest['config'] = 1
    chain = bundle_chain.BundleChain({'ana': helpers.ANA.public})
    reader = config_reader.ConfigReader(log, chain, 0.5)
    reading = asyncio.create_task(reader.read_to_end())
    await fakes.wait_for(lambda: chain.has_conflict)
    assert not reading.done()
    await log.append('config', head)
    await reading
    assert chain.head.version == 'v2'
    assert chain.head.offset == 3
