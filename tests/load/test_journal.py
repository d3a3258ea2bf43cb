"""Tests of reading and plotting the journal of the users' bench."""

import json

import pytest

from arbutusvale import errors
from arbutusvale.load import journal
from arbutusvale.load import journal_plot


def write_entry(folder, number, **changes):
    day = {
        'G': 0.7,
        'slot': 'trouble',
        'served': 0.9,
        'parts': [['whole day', 1.0, 0.9]],
        'prices': [['cloud calls', 10, 0.02], ['probes', 0.0, None]],
        'rules': {},
    }
    entry = {
        'id': f'id{number}',
        'at': [f'2026-12-04T01:{number:02}:00Z', ''],
        'cmd': 'score',
        'site': 'one',
        'why': 'a reason',
        'days': [day, day | {'G': 0.8, 'rules': {'LOST': 1}}],
    }
    path = folder / f'{number}.json'
    path.write_text(json.dumps(entry | changes))


def test_rounds_are_averaged_filtered_and_formatted(tmp_path):
    write_entry(tmp_path, 1)
    write_entry(tmp_path, 2, site='two', cmd='hunt', days=[])
    first, second = journal.read_rounds(tmp_path)
    assert first.worth == pytest.approx(0.75)
    assert first.prices['cloud calls'] == pytest.approx(0.02)
    assert first.prices['probes'] == 0.0
    assert first.broken == {'LOST': 1}
    assert second.worth is None
    assert journal.filter_rounds([first, second], 'two', '') == [second]
    assert journal.filter_rounds([first, second], '', 'score') == [first]
    table = journal.format_table([first, second])
    assert '0.750' in table
    assert 'LOST 1' in table


def test_rounds_are_drawn_as_png(tmp_path):
    for number in range(3):
        write_entry(tmp_path, number)
    plot_path = tmp_path / 'rounds.png'
    journal_plot.draw(journal.read_rounds(tmp_path), plot_path)
    assert plot_path.read_bytes().startswith(b'\x89PNG')


def test_empty_folder_and_malformed_entry_are_rejected(tmp_path):
    with pytest.raises(errors.UsageError):
        journal.read_rounds(tmp_path)
    (tmp_path / '1.json').write_text('[]')
    with pytest.raises(errors.DocumentError) as raised:
        journal.read_rounds(tmp_path)
    assert '1.json' in str(raised.value)
