from arbutusvale.protocol import messages
from arbutusvale.state import directory


def test_least_recently_used_entry_is_evicted_beyond_capacity():
    table = directory.Directory(2)
    table.record('a', 's1')
    table.record('b', 's2')
    assert table.find('a') == 's1'
    table.record('c', 's3')
    assert table.find('b') == ''
    assert [placement.chat for placement in table.export()] == ['c', 'a']


def test_eviction_on_another_vm_keeps_the_entry():
    table = directory.Directory(4)
    table.record('a', 's2')
    table.remove('a', 's1')
    assert table.find('a') == 's2'
    table.remove('a', 's2')
    assert table.find('a') == ''


def test_handed_over_entries_do_not_replace_existing_ones():
    table = directory.Directory(4)
    table.record('a', 's1')
    placements = [
        messages.Placement('a', 's9'),
        messages.Placement('b', 's9'),
    ]
    assert table.add_missing(placements) == 1
    assert table.find('a') == 's1'
    assert table.remove_vm('s9') == 1
