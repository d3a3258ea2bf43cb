import json

from arbutusvale.load import plots
from arbutusvale.load import report


def make_result(policy):
    rates = report.ControlRates(2, 100.0, 120.0, {'Ping': 100.0})
    times = {'p50': 1.0, 'p95': 2.0, 'p99': 3.0}
    return report.PolicyResult(
        deployment='small',
        policy=policy,
        seconds=10.0,
        turns=5,
        answered=4,
        returning=2,
        reuse=0.5,
        best_reuse=1.0,
        skew_p50=1.0,
        skew_p99=2.0,
        skew_max=3.0,
        first_token_ms=times,
        read_ms=times,
        tokens_per_s=1.0,
        bookings=1,
        booked=1,
        doubled=0,
        taken=4,
        above_instant=1,
        bound_breaches=0,
        highest_excess=0,
        redirects_per_request=0.0,
        retries_per_request=0.0,
        cpu_ms_per_request=1.0,
        rss_mb=10.0,
        control={'router': rates, 'sidecar': rates},
        outcomes={'200 answered': 4},
        broken=['1 answer was lost'] if policy == 'random' else [],
    )


def make_measurement():
    rates = report.ControlRates(1, 50.0, 50.0, {})
    return report.Measurement(
        'arbutusvale-load measure --seed=3',
        3,
        1.5,
        [make_result('random'), make_result('directory')],
        [report.FleetSizeResult(6, 10.0, {'router': rates, 'sidecar': rates})],
    )


def test_report_names_command_seed_and_violations():
    text = report.format_report(make_measurement())
    assert 'arbutusvale-load measure --seed=3' in text
    assert 'seed: 3' in text
    assert 'BROKEN with random: 1 answer was lost' in text
    assert '100/120' in text


def test_json_and_plot_are_written(tmp_path):
    measurement = make_measurement()
    report.write_json(measurement, tmp_path / 'm.json')
    document = json.loads((tmp_path / 'm.json').read_text())
    assert document['results'][1]['policy'] == 'directory'
    plots.draw(measurement, tmp_path / 'm.png')
    assert (tmp_path / 'm.png').read_bytes().startswith(b'\x89PNG')
