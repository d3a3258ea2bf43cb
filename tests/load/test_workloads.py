from arbutusvale.load import workloads

ACCOUNTS = [
    workloads.Account('large', 'k1', 0.8),
    workloads.Account('small', 'k2', 0.2),
]


def test_same_seed_generates_the_same_workload():
    parameters = workloads.WorkloadParameters(seed=7, chats=50)
    assert workloads.generate_workload(
        parameters, ACCOUNTS
    ) == workloads.generate_workload(parameters, ACCOUNTS)
    other = workloads.WorkloadParameters(seed=8, chats=50)
    assert workloads.generate_workload(other, ACCOUNTS).chats != (
        workloads.generate_workload(parameters, ACCOUNTS).chats
    )


def test_turns_are_in_time_order_and_texts_are_unique():
    workload = workloads.generate_workload(
        workloads.WorkloadParameters(chats=50, burst_chats=5), ACCOUNTS
    )
    texts = [turn.text for chat in workload.chats for turn in chat.turns]
    assert len(set(texts)) == len(texts)
    for chat in workload.chats:
        times = [turn.due_s for turn in chat.turns]
        assert times == sorted(times)


def test_churn_alternates_leaves_and_joins():
    workload = workloads.generate_workload(
        workloads.WorkloadParameters(leaves=2, joins=1), ACCOUNTS
    )
    event_types = [type(event) for event in workload.churn]
    assert event_types == [workloads.Leave, workloads.Join, workloads.Leave]
