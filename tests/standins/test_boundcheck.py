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


def test_an_engine_counts_only_while_it_is_live():
    histories = {'a': [[1.0, 1], [2.0, 2], [3.0, 3]], 'b': []}
    live = {'b': (10.0, 20.0)}
    assert boundcheck.check(histories, 1.25, live).breaches == []
