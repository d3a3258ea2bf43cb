"""Print what one more chat, claim, server or message costs."""

import dataclasses
import json

from arbutusvale.load import marginal_costs


def run(options: dict) -> int | None:
    """Measure and print the slopes."""
    measured = marginal_costs.measure_all(int(options['--seed']))
    if options['--json']:
        print(json.dumps([dataclasses.asdict(each) for each in measured]))
        return None
    for each in measured:
        print(f'{each.name:20} {each.value:10.2f} {each.unit}/{each.of}')
    return None
