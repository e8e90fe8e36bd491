"""Observes which signals a local process handles."""

import re
import signal
from pathlib import Path

PROGRAM_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_CAUGHT = re.compile(r"^SigCgt:\s*([0-9a-f]+)$", re.MULTILINE)


def has_handlers(pid):
    """Returns whether a process handles all ``PROGRAM_SIGNALS``.

    The interpreter itself starts without handlers, so a signal that comes before this
    ends the process whatever the program does.

    Args:
        pid: Id of a process that has not been waited for.

    References:
        proc_pid_status(5): the field ``SigCgt``.
    """
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    match = _CAUGHT.search(text)
    caught = int(match.group(1), 16) if match else 0
    return all(caught >> (number - 1) & 1 for number in PROGRAM_SIGNALS)
