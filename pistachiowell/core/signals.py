"""Signals that a program obeys."""

import signal

import anyio

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def wait_for_end(log):
    """Waits until a signal asks the program to end.

    A request to reload is noted: nothing that a running program uses is expected to
    change in its settings.

    Args:
        log: Logger of the program's part.
    """
    with anyio.open_signal_receiver(*_SIGNALS) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            log.info("Reload asked for; the settings need none.")
