"""``config check``: findings, differences and exit codes, no network."""

import json

import pytest

from arbutusvale.ui import main
from tests import helpers_edge


def check(capsys, folder, document, against=None):
    """Run the command on documents; return its exit code and its JSON."""
    arguments = ['config', 'check', '--json']
    for name, content in (('new', document), ('old', against)):
        if content is not None:
            (folder / name).write_bytes(content)
    arguments.append(str(folder / 'new'))
    if against is not None:
        arguments.append(f'--against={folder / "old"}')
    exit_code = main.run_operator(arguments)
    text = capsys.readouterr().out
    assert 'key-1' not in text
    return exit_code, json.loads(text) if text else None


def make_route(name='r', **changes):
    return helpers_edge.make_route(name, **changes)


def make_services(**changes):
    return [{'Name': 'chat', 'MaxConnections': 50} | changes]


def test_sound_configuration_has_no_findings(capsys, tmp_path):
    exit_code, result = check(capsys, tmp_path, helpers_edge.make_config())
    assert (exit_code, result['findings']) == (0, [])


@pytest.mark.parametrize(
    ('changes', 'kind', 'entry', 'words'),
    [
        ({'routes': [make_route('a'), make_route('b')]},
         'no effect', 'route a', 'same host and prefix'),
        ({'routes': [make_route(PathPrefix='/x')]},
         'no effect', 'route r', 'slash'),
        ({'routes': [make_route(TrafficSplit=[
            {'Service': 'chat', 'Weight': 1},
            {'Service': 'chat', 'Weight': 0}])]},
         'no effect', 'route r', 'no weight'),
        ({'routes': [make_route(Service='gone')]},
         'contradiction', 'route r', 'not listed'),
        ({'routes': [make_route(TimeoutMs=300)]},
         'contradiction', 'route r', 'target latency'),
        ({'routes': [make_route(RouteType='streaming', GapAimMs=9000)]},
         'contradiction', 'route r', 'pause'),
        ({'routes': [make_route(StreamResume=True)]},
         'no effect', 'route r', 'no stream'),
        ({'Services': make_services() + [{'Name': 'spare'}]},
         'no effect', 'service spare', 'no route'),
        ({'Services': make_services(WarmupPerS=10)},
         'no effect', 'service chat', 'no time'),
        ({'Services': make_services(WarmupS=3)},
         'contradiction', 'service chat', 'no rate'),
        ({'Limits': {'HeaderTimeoutMs': 5000, 'IdleTimeoutMs': 3000}},
         'contradiction', 'limits', 'idle'),
        ({'Limits': {'MaxBodyBytes': 0}},
         'contradiction', 'limits', 'max_body_bytes'),
        ({'Tenants': [{'Name': 'acme', 'ApiKeys': []}]},
         'no effect', 'organisation acme', 'no key'),
        ({'Tenants': [{'Name': name, 'ApiKeys': ['key-1']}
                      for name in ('acme', 'other')]},
         'contradiction', 'organisation other', 'acme has a key'),
        ({'routes': [make_route(RouteType='odd')]},
         'malformed', 'document', 'Routes[0].RouteType'),
    ],
)  # fmt: skip
def test_finding_names_its_kind_entry_and_problem(
    capsys, tmp_path, changes, kind, entry, words
):
    document = helpers_edge.make_config(**changes)
    exit_code, result = check(capsys, tmp_path, document)
    assert exit_code == 1
    assert any(
        (finding['kind'], finding['entry']) == (kind, entry)
        and words in finding['problem']
        for finding in result['findings']
    )


def test_all_malformed_fields_are_named_not_only_the_first(capsys, tmp_path):
    routes = [make_route(TimeoutMs='soon', Host=7), 'none']
    document = helpers_edge.make_config(routes=routes, Version=True)
    _, result = check(capsys, tmp_path, document)
    faults = ' '.join(
        finding['problem']
        for finding in result['findings']
        if finding['kind'] == 'malformed'
    )
    for field in ('Routes[0].TimeoutMs', 'Routes[0].Host', 'Routes[1]',
                  'Version'):  # fmt: skip
        assert f'{field}:' in faults


def test_differences_are_named_with_keys_by_count_only(capsys, tmp_path):
    old = helpers_edge.make_config(7)
    new = helpers_edge.make_config(
        8,
        routes=[make_route(TimeoutMs=3000), make_route('n', PathPrefix='/n/')],
        Tenants=[{'Name': 'acme', 'ApiKeys': ['key-2', 'key-3']}],
    )
    exit_code, result = check(capsys, tmp_path, new, old)
    assert exit_code == 0
    assert [tuple(each.values()) for each in result['differences']] == [
        ('route n', 'added', 1),
        ('route r', 'timeout_s changes', 1),
        ('organisation acme', 'keys added', 2),
        ('organisation acme', 'keys removed', 1),
    ]
    assert check(capsys, tmp_path, old, new)[0] == 1


@pytest.mark.parametrize('content', [b'{', b'[]', b'\xff'])
def test_unreadable_file_is_wrong_use(capsys, tmp_path, content):
    assert check(capsys, tmp_path, content)[0] == 2
    path = str(tmp_path / 'missing')
    assert main.run_operator(['config', 'check', path]) == 2
