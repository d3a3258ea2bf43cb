"""Name the exit codes that all programs share."""

import enum


class ExitCode(enum.IntEnum):
    """Tell a shell how a program ended.

    ``LAGGARDS`` says that a rollout was accepted, but that not every VM
    had it in time.
    """

    DONE = 0
    FAILED = 1
    USAGE_ERROR = 2
    LOST_RACE = 3
    OUTCOME_UNKNOWN = 4
    LAGGARDS = 5
