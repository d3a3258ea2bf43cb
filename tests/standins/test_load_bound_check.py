from arbutusvale.standins import load_bound_check


def test_an_increase_above_the_bound_is_a_breach():
    histories = {
        'a': [[1.0, 1], [2.0, 2], [3.0, 3], [4.0, 2]],
        'b': [[1.5, 1], [2.5, 2]],
    }
    report = load_bound_check.check_histories(histories, 1.25)
    assert report.accepted == 5
    assert report.breaches == []
    report = load_bound_check.check_histories(
        {'a': histories['a'], 'b': []}, 1.25
    )
    assert [breach.load for breach in report.breaches] == [3]


def test_a_higher_total_within_the_snapshot_window_prevents_a_breach():
    a = [[1.0, 1], [1.1, 2], [1.206, 3]]
    near = {'a': a, 'b': [[1.05, 2], [1.2, 1]]}
    report = load_bound_check.check_histories(near, 1.0)
    assert (report.above_instant, report.breaches) == (1, [])
    far = {'a': a, 'b': [[1.05, 2], [1.15, 1]]}
    report = load_bound_check.check_histories(far, 1.0)
    assert (report.above_instant, len(report.breaches)) == (1, 1)


def test_an_engine_counts_only_while_it_is_in_the_pool():
    histories = {'a': [[1.0, 1], [2.0, 2], [3.0, 3]], 'b': []}
    live = {'b': (10.0, 20.0)}
    assert (
        load_bound_check.check_histories(histories, 1.25, live).breaches == []
    )
