"""Exit codes of all programs."""

import enum


class ExitCode(enum.IntEnum):
    """Result of a program, as its exit code.

    ``LAGGARDS`` means that a rollout was accepted, but that some VMs did
    not report it before the timeout.
    """

    DONE = 0
    FAILED = 1
    USAGE_ERROR = 2
    LOST_RACE = 3
    OUTCOME_UNKNOWN = 4
    LAGGARDS = 5
