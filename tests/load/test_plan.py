from arbutusvale.load import plan

CUSTOMERS = [
    plan.Customer('large', 'k1', 0.8),
    plan.Customer('small', 'k2', 0.2),
]


def test_same_seed_draws_the_same_day():
    shape = plan.DayShape(seed=7, chats=50)
    assert plan.plan_day(shape, CUSTOMERS) == plan.plan_day(shape, CUSTOMERS)
    other = plan.DayShape(seed=8, chats=50)
    assert plan.plan_day(other, CUSTOMERS).chats != (
        plan.plan_day(shape, CUSTOMERS).chats
    )


def test_chats_return_in_order_and_texts_are_unique():
    day = plan.plan_day(plan.DayShape(chats=50, burst_chats=5), CUSTOMERS)
    texts = [turn.text for chat in day.chats for turn in chat.turns]
    assert len(set(texts)) == len(texts)
    for chat in day.chats:
        times = [turn.time for turn in chat.turns]
        assert times == sorted(times)


def test_churn_alternates():
    day = plan.plan_day(plan.DayShape(leaves=2, joins=1), CUSTOMERS)
    kinds = [type(event) for event in day.churn]
    assert kinds == [plan.Leave, plan.Join, plan.Leave]
