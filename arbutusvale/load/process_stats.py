"""CPU time and resident memory of running processes, read from /proc."""

import dataclasses
import os
import pathlib

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Indices among the fields of /proc/PID/stat after the command name.
_UTIME_FIELD = 11
_STIME_FIELD = 12


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceUsage:
    """CPU seconds used since the start, and resident bytes."""

    cpu_s: float
    rss_bytes: int


def read_usage(pid: int) -> ResourceUsage:
    """Read the usage of a process; raise OSError if it does not exist."""
    proc_folder = pathlib.Path('/proc') / str(pid)
    fields = (proc_folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
    resident_pages = int((proc_folder / 'statm').read_text().split()[1])
    return ResourceUsage(ticks / _TICKS_PER_S, resident_pages * _PAGE_BYTES)


def read_own_usage() -> ResourceUsage:
    """Read the usage of this process."""
    return read_usage(os.getpid())
