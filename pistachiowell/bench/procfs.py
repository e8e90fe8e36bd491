"""Processor time and resident memory of processes, read from ``/proc``."""

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TIME = 11
_SYSTEM_TIME = 12


def cpu_s(pid):
    """Returns the user and system processor time of a process in seconds.

    Args:
        pid: Process id.

    Examples:
        >>> cpu_s(os.getpid()) >= 0.0
        True
    """
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])) / _TICKS_PER_S


def rss_bytes(pid):
    """Returns the resident memory of a process in bytes.

    Args:
        pid: Process id.

    Examples:
        >>> rss_bytes(os.getpid()) > 0
        True
    """
    text = Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * _PAGE_BYTES
