"""Reading of the platform's settings file."""

import pytest

from arbutusvale import errors
from arbutusvale.platform import boot_file

VALID = """
NodeName = "edge-1"
Ip = "10.1.0.40"
Zone = "north"
InternalPortRange = [7340, 7355]
Seeds = ["10.1.0.40:8229", "odd", 5]
SomethingNew = true
[Listen]
Frontend = "10.1.0.40:8227"
Ready = "10.1.0.40:8220"
[Limits]
CpuShare = 0.8
MemoryMb = 300
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 56
[Platform]
Address = "10.200.1.7:8223"
"""


def read(tmp_path, text):
    path = tmp_path / 'local.toml'
    path.write_text(text)
    return boot_file.read(str(path))


def test_valid_settings_are_read_and_unknown_fields_ignored(tmp_path):
    settings = read(tmp_path, VALID)
    assert settings.callers.port == 8227
    assert settings.bounds.drain_s == 2.0
    assert settings.bounds.load_factor == 2.0
    assert [seed.port for seed in settings.seeds] == [8229]
    assert settings.memory_bytes == 300 << 20


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        ('NodeName = "edge-1"', '', 'NodeName'),
        ('"10.1.0.40:8227"', '"10.1.0.40"', 'Listen.Frontend'),
        ('GraceS = 8', 'GraceS = "x"', 'Bounds.GraceS'),
        ('MemoryMb = 300', 'MemoryMb = -1', 'Limits.MemoryMb'),
        ('[7340, 7355]', '[]', 'InternalPortRange'),
        ('[Platform]', '[Elsewhere]', 'Platform.Address'),
    ],
)
def test_a_fault_names_the_field(tmp_path, old, new, field):
    with pytest.raises(errors.DocumentError) as caught:
        read(tmp_path, VALID.replace(old, new))
    assert any(fault.startswith(field) for fault in caught.value.faults)


def test_an_unreadable_file_raises_document_error(tmp_path):
    with pytest.raises(errors.DocumentError):
        read(tmp_path, 'no toml')
    with pytest.raises(errors.DocumentError):
        boot_file.read(str(tmp_path / 'missing'))
