"""``engine``: run the stand-in for a model engine."""

from arbutusvale import errors
from arbutusvale.standins import engine
from arbutusvale.ui import foreground


def run(options: dict) -> int:
    """Serve chat completions until stopped."""
    slots = options['--slots']
    if not slots.isdigit() or int(slots) == 0:
        raise errors.UsageError(
            f'{slots!r} is no number of slots.', 'Give --slots=8.'
        )
    return foreground.run(
        lambda: engine.EngineStandin(
            options['--listen'],
            options['--name'],
            int(slots),
            checks_fencing=not options['--no-fencing'],
        )
    )
