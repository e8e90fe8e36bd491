"""Stand-in for a plain service, such as a reservation desk or a deposit ledger.

A ``POST`` request to any path is a call. Runs are counted by ``Idempotency-Key``. The
service itself does not reject a repeated key, so a request that the router sends
twice by mistake appears as a second run in the counts.

Examples:
    Run ``python -m pistachiowell.standins.plain --port 9101``.
"""

import os
import sys
from collections import Counter
from random import Random

import anyio
import msgspec
from absl import flags

from pistachiowell.standins import asgi
from pistachiowell.standins.behaviour import Behaviour, draw_request_faults

CRASH_EXIT_CODE = 71


def define_flags():
    """Defines the flags of the program and returns them."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("port", None, "TCP port.", required=True, **define)
    flags.DEFINE_float("run_s", 0.01, "Seconds per run.", **define)
    flags.DEFINE_integer("seed", 1, "Seed of the faults.", **define)
    return values


class PlainApp:
    """ASGI application of the plain service.

    ``/control`` sets the ``Behaviour``, ``/control/runs`` returns the counts of runs
    and ``/load`` the load. A ``POST`` request to any other path is a call.

    Args:
        settings: Flag values; see ``define_flags``.
    """

    __slots__ = ("_behaviour", "_requests", "_rng", "_running", "_runs", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._rng = Random(settings.seed)
        self._behaviour = Behaviour()
        self._runs = Counter()
        self._requests = 0
        self._running = 0

    async def __call__(self, scope, receive, send):
        """Answers one HTTP request."""
        path, method = scope["path"], scope["method"]
        body = await asgi.read_body(receive)
        if path == "/control":
            await self._handle_control(method, body, send)
        elif path == "/control/runs":
            await asgi.send_json(send, 200, {"runs": dict(self._runs)})
        elif path == "/load":
            load = {"running": self._running, "waiting": 0, "slots": 0}
            await asgi.send_json(send, 200, load)
        elif method == "POST":
            await self._handle_call(
                path, asgi.header(scope, b"idempotency-key"), body, send
            )
        else:
            await asgi.send_error(send, 405, "Only POST runs a call.")

    async def _handle_control(self, method, body, send):
        if method == "POST":
            self._behaviour = msgspec.json.decode(body, type=Behaviour)
        document = {"behaviour": self._behaviour, "requests": self._requests}
        await asgi.send_json(send, 200, document)

    async def _handle_call(self, path, key, body, send):
        if self._behaviour.crashes(body):
            os._exit(CRASH_EXIT_CODE)
        faults = draw_request_faults(
            self._behaviour, self._rng, path, body, self._requests, self._running
        )
        self._requests += 1
        if self._behaviour.refuse:
            await asgi.send_error(send, 503, "The service takes no calls.")
            return
        self._runs[key] += 1
        self._running += 1
        try:
            await anyio.sleep(self._settings.run_s * faults.slow_factor)
        finally:
            self._running -= 1
        if self._behaviour.lose_answer or faults.drops_connection:
            await asgi.send_start(send, 200, "application/json")
            raise ConnectionAbortedError("connection closed before the answer was sent")
        if faults.fails:
            await asgi.send_error(send, 500, "The service failed.")
            return
        document = {"key": key, "run": self._runs[key], "path": path}
        await asgi.send_json(send, 200, document)


def main(argv):
    """Runs the program with the given command line."""
    settings = define_flags()
    settings(argv)
    anyio.run(asgi.serve_app, PlainApp(settings), settings.port)


if __name__ == "__main__":
    main(sys.argv)
