import pytest

from arbutusvale import errors
from arbutusvale import settings
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from tests import helpers_bundle

ROUTER = """\
vm: entry-1
data_centre: poa-1
listen: 127.0.0.1:8080
admin: 127.0.0.1:8081
platform: http://127.0.0.1:7000
fleet_key: 0123456789abcdef
"""


def test_valid_settings_are_read():
    router_settings = yaml_documents.parse(ROUTER, settings.RouterSettings)
    assert router_settings.vm == 'entry-1'
    assert router_settings.grace_s == 30.0


@pytest.mark.parametrize(
    ('text', 'location', 'remedy'),
    [
        (ROUTER.replace('8080', 'x'), 'f.yaml:3: listen', 'host:port'),
        (ROUTER + 'colour: red\n', 'f.yaml:7: colour', 'remove this field'),
        (ROUTER[len('vm: entry-1\n') :], 'f.yaml:1: vm', 'add this field'),
        (ROUTER + 'a: [\n', 'f.yaml:8', 'write valid YAML'),
        (ROUTER + 'a: \x00\n', 'f.yaml:', 'write valid YAML'),
    ],
)
def test_fault_names_file_line_field_and_remedy(text, location, remedy):
    with pytest.raises(errors.DocumentError) as caught:
        yaml_documents.parse(text, settings.RouterSettings, 'f.yaml')
    assert location in str(caught.value)
    assert remedy in str(caught.value)


def test_faults_across_fields_name_the_line_of_each():
    text = helpers_bundle.make_text('v1')
    text = text.replace('services: [chat]', 'services:\n    - chat\n    - x')
    text = text.replace('pool: models', 'pool: other')
    with pytest.raises(errors.DocumentError) as caught:
        yaml_documents.parse(text, bundle.Bundle, 'b.yaml')
    first, second = caught.value.faults
    assert first.startswith('b.yaml:7: organisations.acme.services.1: ')
    assert 'define it under services' in first
    assert second.startswith('b.yaml:9: services.chat.pool: ')


def test_repeated_key_is_reported_with_its_line():
    with pytest.raises(errors.DocumentError) as caught:
        yaml_documents.parse(
            ROUTER + 'vm: x\n', settings.RouterSettings, 'f.yaml'
        )
    assert caught.value.faults == [
        'f.yaml:7: vm: is defined twice: remove one'
    ]


def test_impossible_date_is_reported_as_fault():
    with pytest.raises(errors.DocumentError):
        yaml_documents.parse(
            ROUTER + 'a: 2026-13-45\n', settings.RouterSettings
        )
