from arbutusvale.load import workloads

CUSTOMERS = [
    workloads.Account('large', 'k1', 0.8),
    workloads.Account('small', 'k2', 0.2),
]


def test_same_seed_draws_the_same_day():
    shape = workloads.WorkloadParameters(seed=7, chats=50)
    assert workloads.generate_workload(
        shape, CUSTOMERS
    ) == workloads.generate_workload(shape, CUSTOMERS)
    other = workloads.WorkloadParameters(seed=8, chats=50)
    assert workloads.generate_workload(other, CUSTOMERS).chats != (
        workloads.generate_workload(shape, CUSTOMERS).chats
    )


def test_chats_return_in_order_and_texts_are_unique():
    day = workloads.generate_workload(
        workloads.WorkloadParameters(chats=50, burst_chats=5), CUSTOMERS
    )
    texts = [turn.text for chat in day.chats for turn in chat.turns]
    assert len(set(texts)) == len(texts)
    for chat in day.chats:
        times = [turn.due_s for turn in chat.turns]
        assert times == sorted(times)


def test_churn_alternates():
    day = workloads.generate_workload(
        workloads.WorkloadParameters(leaves=2, joins=1), CUSTOMERS
    )
    kinds = [type(event) for event in day.churn]
    assert kinds == [workloads.Leave, workloads.Join, workloads.Leave]
