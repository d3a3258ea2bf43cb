from arbutusvale.standins import boundcheck


def test_rise_above_the_bound_is_found():
    histories = {
        'a': [[1.0, 1], [2.0, 2], [3.0, 3], [4.0, 2]],
        'b': [[1.5, 1], [2.5, 2]],
    }
    report = boundcheck.check(histories, 1.25)
    assert report.taken == 5
    assert report.breaches == []
    report = boundcheck.check({'a': histories['a'], 'b': []}, 1.25)
    assert [breach.load for breach in report.breaches] == [3]


def test_a_load_of_a_moment_ago_counts():
    a = [[1.0, 1], [1.1, 2], [1.206, 3]]
    near = {'a': a, 'b': [[1.05, 2], [1.2, 1]]}
    report = boundcheck.check(near, 1.0)
    assert (report.instant, report.breaches) == (1, [])
    far = {'a': a, 'b': [[1.05, 2], [1.15, 1]]}
    report = boundcheck.check(far, 1.0)
    assert (report.instant, len(report.breaches)) == (1, 1)


def test_an_engine_counts_only_while_it_is_live():
    histories = {'a': [[1.0, 1], [2.0, 2], [3.0, 3]], 'b': []}
    live = {'b': (10.0, 20.0)}
    assert boundcheck.check(histories, 1.25, live).breaches == []
