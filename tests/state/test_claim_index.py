from arbutusvale.state import claim_index

KEY = b'k' * 16


def make_claim(vm, log_expires_at):
    return claim_index.Claim(b'', vm, 1, log_expires_at, log_expires_at, 0.0)


def test_first_claim_in_log_order_wins():
    index = claim_index.ClaimIndex(lambda: 0.0)
    assert index.add(KEY, make_claim('vm-1', 10.0), 0.0)
    assert not index.add(KEY, make_claim('vm-2', 11.0), 1.0)
    assert index.find(KEY).vm == 'vm-1'


def test_losing_claim_extends_the_protection_of_its_key():
    index = claim_index.ClaimIndex(lambda: 0.0)
    index.add(KEY, make_claim('vm-1', 10.0), 0.0)
    index.add(KEY, make_claim('vm-2', 19.0), 9.0)
    assert not index.add(KEY, make_claim('vm-3', 22.0), 12.0)
    assert index.add(KEY, make_claim('vm-3', 42.0), 32.0)


def test_expired_claims_are_dropped():
    index = claim_index.ClaimIndex(lambda: 0.0)
    index.add(KEY, make_claim('vm-1', 10.0), 0.0)
    index.add(b'o' * 16, make_claim('vm-1', 30.0), 20.0)
    assert list(index.claims) == [b'o' * 16]


def test_keys_are_scoped_by_organisation_and_service():
    scoped = {
        claim_index.scope_key(organisation, service, 'k')
        for organisation in ('a', 'b')
        for service in ('c', 'd')
    }
    assert len(scoped) == 4
