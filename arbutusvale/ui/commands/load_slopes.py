"""``slopes``: print the marginal cost of a chat, claim, server or message."""

import dataclasses
import json

from arbutusvale.load import marginal_costs


def run(options: dict) -> int | None:
    """Measure and print the marginal costs."""
    costs = marginal_costs.measure_all(int(options['--seed']))
    if options['--json']:
        print(json.dumps([dataclasses.asdict(cost) for cost in costs]))
        return None
    for cost in costs:
        print(f'{cost.name:20} {cost.value:10.2f} {cost.unit}/{cost.of}')
    return None
