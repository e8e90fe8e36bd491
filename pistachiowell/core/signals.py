"""Signals that a program obeys."""

import signal

import anyio


async def wait_for_signal(on_reload=None):
    """Waits for SIGTERM or SIGINT.

    Args:
        on_reload: Function that is called at each SIGHUP; None to leave that signal
            to its default.
    """
    numbers = [signal.SIGTERM, signal.SIGINT]
    if on_reload is not None:
        numbers.append(signal.SIGHUP)
    with anyio.open_signal_receiver(*numbers) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            on_reload()
