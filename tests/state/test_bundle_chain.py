from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as helpers


def make_chain(*records):
    chain = bundle_chain.BundleChain({'ana': helpers.ANA.public})
    for offset, record in enumerate(records):
        chain.apply(offset, record)
    return chain


def test_child_of_the_head_by_a_known_operator_is_accepted():
    first = helpers.make_record('v1')
    chain = make_chain(first)
    second = helpers.make_record(
        'v2', signing.digest(first), 'bia', helpers.BIA
    )
    assert isinstance(chain.apply(1, second), bundle_chain.Accepted)
    assert chain.head.version == 'v2'
    assert chain.head.offset == 1


def test_first_of_two_children_in_log_order_wins():
    first = helpers.make_record('v1')
    parent = signing.digest(first)
    chain = make_chain(first, helpers.make_record('v2a', parent))
    late = helpers.make_record('v2b', parent, 'bia', helpers.BIA)
    outcome = chain.apply(2, late)
    assert isinstance(outcome, bundle_chain.Rejected)
    assert 'version v2a by ana' in outcome.reason
    assert chain.head.version == 'v2a'


def test_invalid_records_change_nothing():
    first = helpers.make_record('v1')
    parent = signing.digest(first)
    chain = make_chain(first, helpers.make_record('v2', parent))
    head = chain.head
    incomplete = signing.sign(
        'version: v3', 'ana', helpers.ANA.private, b'', 'p'
    )
    invalid_records = [
        b'noise',
        helpers.make_record('v3', head.digest, 'eve', helpers.BIA),
        helpers.make_record('v3', head.digest, 'bia', helpers.ANA),
        signing.encode(incomplete),
        first,
        helpers.make_record('v3', parent),
    ]
    for offset, record in enumerate(invalid_records, 2):
        assert isinstance(chain.apply(offset, record), bundle_chain.Rejected)
    assert chain.head is head


def test_operator_removed_by_the_head_is_rejected():
    first = helpers.make_record('v1', operators={'bia': helpers.BIA.public})
    chain = make_chain(first)
    second = helpers.make_record('v2', signing.digest(first))
    assert isinstance(chain.apply(1, second), bundle_chain.Rejected)


def test_reappended_head_only_changes_its_offset():
    first = helpers.make_record('v1')
    chain = make_chain(first)
    assert chain.apply(1, first) == bundle_chain.Refresh(1, 'v1')
    assert chain.head.offset == 1
    assert isinstance(chain.apply(0, first), bundle_chain.Passed)


def test_unanchored_chain_uses_the_last_signed_record():
    parent = b'x' * 32
    loser = helpers.make_record('v2b', parent)
    head = helpers.make_record('v2a', parent)
    chain = bundle_chain.BundleChain({'ana': helpers.ANA.public})
    chain.skip_expired(7)
    chain.apply(7, loser)
    assert not chain.anchored
    assert not chain.has_conflict
    chain.apply(8, head)
    assert chain.has_conflict
    chain.anchor()
    assert chain.head.version == 'v2a'
    assert isinstance(chain.apply(9, loser), bundle_chain.Rejected)


def test_peer_copy_anchors_the_chain_and_never_moves_it_back():
    parent = b'x' * 32
    chain = bundle_chain.BundleChain({'ana': helpers.ANA.public})
    newer = helpers.make_record('v9', parent)
    assert isinstance(chain.adopt(9, newer), bundle_chain.Accepted)
    assert chain.anchored
    assert chain.position == 10
    older = helpers.make_record('v8', parent)
    assert isinstance(chain.adopt(8, older), bundle_chain.Passed)
    forged = helpers.make_record('v10', parent, 'eve', helpers.BIA)
    assert isinstance(chain.adopt(10, forged), bundle_chain.Rejected)
    assert chain.head.version == 'v9'
