"""Signals that a program handles."""

import signal

import anyio


async def wait_for_signal(on_reload=None):
    """Waits for SIGTERM or SIGINT; calls a function at each SIGHUP.

    Args:
        on_reload: Function for SIGHUP; None to keep the default action of that
            signal.
    """
    numbers = [signal.SIGTERM, signal.SIGINT]
    if on_reload is not None:
        numbers.append(signal.SIGHUP)
    with anyio.open_signal_receiver(*numbers) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            on_reload()
