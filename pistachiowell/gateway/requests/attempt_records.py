"""Records how attempts at backend servers end."""

from contextlib import contextmanager

import anyio

from pistachiowell.core.errors import (
    AnswerBroken,
    DeadlineExceeded,
    PistachiowellError,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import NotConnected
from pistachiowell.gateway.servers import ServerClosed, SilentServer
from pistachiowell.routing import AttemptFailure

_log = part_logger("dispatch")


@contextmanager
def recorded_attempt(runtime, crashes, run, attempt):
    """Records the end of an attempt when the context is left.

    Args:
        runtime: The process's ``Runtime``.
        crashes: The ``ServerCrashes``.
        run: The ``Run``.
        attempt: The ``Attempt``.
    """
    error, was_abandoned = None, False
    run.running += 1
    try:
        yield
    except SilentServer:
        # A VM that stands still says nothing about the version that it runs.
        was_abandoned = True
        raise
    except PistachiowellError as caught:
        error = caught
        raise
    except anyio.get_cancelled_exc_class():
        was_abandoned = runtime.now() < run.request.deadline
        error = _fault_at_deadline(run, attempt)
        raise
    finally:
        run.running -= 1
        if was_abandoned:
            attempt.record_abandoned()
            _log.info(
                "Attempt is given up before its end.",
                request=run.request.id,
                server=attempt.server.id,
                after_s=round(attempt.age_s, 3),
                first_byte_s=attempt.latency_s,
            )
        else:
            attempt.record_end(error, crashes.is_exempt)
        if attempt.latency_s is not None:
            runtime.metrics.timing("servers.first_byte", attempt.latency_s)


def _fault_at_deadline(run, attempt):
    """Returns the error of an attempt whose deadline has passed at its server."""
    if attempt.latency_s is not None and not run.events.count:
        return AnswerBroken("The answer has begun and not ended by the deadline.")
    return DeadlineExceeded("The answer had not ended by the deadline.")


def attempt_failure(error, *, has_other_server=False):
    """Returns the ``AttemptFailure`` of an attempt that ended with an error.

    Args:
        error: The ``PistachiowellError``.
        has_other_server: See ``AttemptFailure``.
    """
    return AttemptFailure(
        str(error.code),
        error.ran,
        may_have_arrived=not isinstance(error, (NotConnected, ServerClosed)),
        has_other_server=has_other_server,
    )
