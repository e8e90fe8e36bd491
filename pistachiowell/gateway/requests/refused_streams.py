"""Waits with the rest of a stream that no server takes now.

Its caller has a part, which is lost if the stream ends. A refusal is for the moment,
and a server that was given up as it was silent may go on.
"""

import anyio

from pistachiowell.core.errors import NoServer
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import NotConnected
from pistachiowell.gateway.servers import NoRoom, ServerClosed

RESEND_INTERVAL_S = 0.2
NOT_RUN = "no"

_log = part_logger("dispatch")


def is_refused_stream(run, error):
    """Returns whether the rest of a stream that the caller reads was refused.

    Args:
        run: The ``Run``.
        error: The ``PistachiowellError`` of the latest attempt.
    """
    is_begun = run.writer.has_started and run.request.route.is_resumable
    return is_begun and error.ran == NOT_RUN


def has_no_server(error):
    """Returns whether an attempt failed as its service has no server."""
    return isinstance(error, NoServer) and not isinstance(error, NotConnected)


def has_arrived(error):
    """Returns whether a refused attempt arrived at a server."""
    return not isinstance(error, (NoRoom, NoServer, ServerClosed))


async def wait_for_resend(run, error, retry_share, now, *, is_paid):
    """Waits until the rest of a refused stream may be sent again.

    The server that has refused it is avoided, and those of earlier attempts are not.

    Args:
        run: The ``Run``.
        error: The ``PistachiowellError`` of the latest attempt, which has not run.
        retry_share: The ``RetryShare`` of the service; waited for if it is empty.
        now: Function that returns the monotonic time in seconds.
        is_paid: Whether the retry that was spent for that attempt is left.

    Returns:
        Whether it may be sent; False if it may not run again or the deadline is near.
    """
    run.avoided = {run.latest}
    _log.info(
        "The rest of a stream waits, as it was refused.",
        request=run.request.id,
        server=run.latest,
        code=str(error.code),
        cause=error.message,
        last_event=run.events.last_id,
    )
    while run.retries.may_send_later(now()):
        await anyio.sleep(RESEND_INTERVAL_S)
        if run.retries.try_send_later(now(), retry_share, is_paid=is_paid):
            return True
    return False
