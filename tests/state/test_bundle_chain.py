from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as made


def start_chain(*records):
    chain = bundle_chain.BundleChain({'ana': made.ANA.public})
    for offset, record in enumerate(records):
        chain.apply(offset, record)
    return chain


def test_child_of_the_head_by_a_known_operator_is_accepted():
    first = made.make_record('v1')
    chain = start_chain(first)
    second = made.make_record('v2', signing.digest(first), 'bia', made.BIA)
    assert isinstance(chain.apply(1, second), bundle_chain.Accepted)
    assert chain.head.version == 'v2'
    assert chain.head.offset == 1


def test_of_two_children_the_first_in_the_log_wins():
    first = made.make_record('v1')
    parent = signing.digest(first)
    chain = start_chain(first, made.make_record('v2a', parent))
    late = made.make_record('v2b', parent, 'bia', made.BIA)
    outcome = chain.apply(2, late)
    assert isinstance(outcome, bundle_chain.Rejected)
    assert 'version v2a by ana' in outcome.reason
    assert chain.head.version == 'v2a'


def test_records_that_break_the_rule_change_nothing():
    first = made.make_record('v1')
    parent = signing.digest(first)
    chain = start_chain(first, made.make_record('v2', parent))
    head = chain.head
    broken = signing.sign('version: v3', 'ana', made.ANA.private, b'', 'p')
    bad = [
        b'noise',
        made.make_record('v3', head.digest, 'eve', made.BIA),
        made.make_record('v3', head.digest, 'bia', made.ANA),
        signing.encode(broken),
        first,
        made.make_record('v3', parent),
    ]
    for offset, record in enumerate(bad, 2):
        assert isinstance(chain.apply(offset, record), bundle_chain.Rejected)
    assert chain.head is head


def test_operator_dropped_by_the_head_is_not_known():
    first = made.make_record('v1', operators={'bia': made.BIA.public})
    chain = start_chain(first)
    second = made.make_record('v2', signing.digest(first))
    assert isinstance(chain.apply(1, second), bundle_chain.Rejected)


def test_head_appended_again_only_moves_its_offset():
    first = made.make_record('v1')
    chain = start_chain(first)
    assert chain.apply(1, first) == bundle_chain.Refresh(1, 'v1')
    assert chain.head.offset == 1
    assert isinstance(chain.apply(0, first), bundle_chain.Passed)


def test_reader_without_a_beginning_takes_the_last_signed_record():
    parent = b'x' * 32
    loser = made.make_record('v2b', parent)
    head = made.make_record('v2a', parent)
    chain = bundle_chain.BundleChain({'ana': made.ANA.public})
    chain.skip_expired(7)
    chain.apply(7, loser)
    assert not chain.anchored
    assert not chain.has_conflict
    chain.apply(8, head)
    assert chain.has_conflict
    chain.anchor()
    assert chain.head.version == 'v2a'
    assert isinstance(chain.apply(9, loser), bundle_chain.Rejected)


def test_copy_of_a_peer_anchors_and_never_moves_back():
    parent = b'x' * 32
    chain = bundle_chain.BundleChain({'ana': made.ANA.public})
    ahead = made.make_record('v9', parent)
    assert isinstance(chain.adopt(9, ahead), bundle_chain.Accepted)
    assert chain.anchored
    assert chain.position == 10
    older = made.make_record('v8', parent)
    assert isinstance(chain.adopt(8, older), bundle_chain.Passed)
    forged = made.make_record('v10', parent, 'eve', made.BIA)
    assert isinstance(chain.adopt(10, forged), bundle_chain.Rejected)
    assert chain.head.version == 'v9'
