"""State of the model engine stand-in: models, orders, counts and overload.

Imitates an engine that breaks down under overload instead of queueing without bound:
the first request above the flag ``capacity`` makes all generations fail. Afterwards,
by the flag ``collapse``, the engine answers 503 for ``collapse_s`` seconds or the
process exits.
"""

import os
import time
from random import Random

import anyio

from pistachiowell.standins.batching import Batch, PrefixCache
from pistachiowell.standins.behaviour import Behaviour, draw_request_faults

OVERLOAD_EXIT_CODE = 70
CRASH_EXIT_CODE = 71


class Engine:
    """State of the engine.

    Args:
        settings: Flag values; see ``define_flags``.

    Attributes:
        batch: The ``Batch`` that runs the generations.
        behaviour: The ``Behaviour`` that was set last.
        counts: Counts of requests, outcomes, overload failures and tokens by name.
        fence: Highest fencing number of an accepted order.
        models: Names of the loaded models.
        orders: ``[action, version, fence, accepted]`` of each order received.
        recovers_at: End of the recovery from the last overload, by
            ``time.monotonic()`` in seconds.
        role: Role of the last accepted ``set_role`` order.
    """

    __slots__ = (
        "_rng",
        "_settings",
        "batch",
        "behaviour",
        "counts",
        "fence",
        "models",
        "orders",
        "recovers_at",
        "role",
    )

    def __init__(self, settings):
        self._settings = settings
        self._rng = Random(settings.seed)
        self.behaviour = Behaviour()
        self.models = list(settings.model)
        self.role = "serve"
        self.fence = 0
        self.orders = []
        self.recovers_at = 0.0
        self.counts = dict.fromkeys(
            ("requests", "answered", "failed", "cancelled", "collapses"), 0
        )
        self.counts.update(prompt_tokens=0, completion_tokens=0, cached_tokens=0)
        self.batch = Batch(
            settings.slots,
            settings.word_s,
            settings.batch_cost,
            settings.prompt_word_s,
            PrefixCache(settings.cache_blocks),
        )

    @property
    def is_recovering(self):
        """Whether the engine refuses requests while it recovers from an overload."""
        return time.monotonic() < self.recovers_at

    def draw_request_faults(self, path, body):
        """Counts a request and draws its faults.

        Exits the process if the body contains the marker for a crash.
        """
        requests = self.counts["requests"]
        self.counts["requests"] += 1
        if self.behaviour.crashes(body):
            os._exit(CRASH_EXIT_CODE)
        return draw_request_faults(
            self.behaviour, self._rng, path, body, requests, self.batch.running
        )

    def submit(self, generation):
        """Queues a generation, or fails all generations if the capacity is reached."""
        if self.batch.unfinished >= self._settings.capacity:
            self._fail_from_overload()
            generation.fail("collapsed")
        else:
            self.batch.submit(generation)

    def finish(self, generation):
        """Records the outcome of a generation, and cancels it if it is not done."""
        words = len(generation.prompt)
        self.counts["completion_tokens"] += generation.generated_words
        self.counts["prompt_tokens"] += words if generation.generated_words else 0
        self.counts["cached_tokens"] += generation.cached_words
        if not generation.done:
            self.batch.cancel(generation)
            self.counts["cancelled"] += 1
        elif generation.failure_reason:
            self.counts["failed"] += 1
        else:
            self.counts["answered"] += 1

    def _fail_from_overload(self):
        if self._settings.collapse == "exit":
            os._exit(OVERLOAD_EXIT_CODE)
        self.counts["collapses"] += 1
        self.recovers_at = time.monotonic() + self._settings.collapse_s
        self.batch.fail_all("collapsed")

    def load(self):
        """Returns the load report as it was ``load_lag_s`` seconds ago."""
        running, waiting = self.batch.lagged_load(self._settings.load_lag_s)
        slots = self._settings.slots
        return {"running": running, "waiting": waiting, "slots": slots}

    async def execute_order(self, action, version, fence):
        """Executes a model order, unless its fencing number is out of date.

        With the flag ``fencing``, an order with a lower fencing number than one
        accepted before is rejected, so that a delayed order of a former controller
        cannot undo a newer one.

        Args:
            action: ``load``, ``unload`` or ``set_role``.
            version: Name of the model, or the role.
            fence: Fencing number of the order.

        Returns:
            Whether the order was accepted.
        """
        accepted = not (self._settings.fencing and fence < self.fence)
        self.orders.append([action, version, fence, accepted])
        if not accepted:
            return False
        self.fence = max(self.fence, fence)
        await anyio.sleep(self._settings.order_s)
        if action == "load" and version not in self.models:
            self.models.append(version)
        elif action == "unload" and version in self.models:
            self.models.remove(version)
        elif action == "set_role":
            self.role = version
        return True

    def status(self):
        """Returns the document of the control endpoint."""
        return {
            "behaviour": self.behaviour,
            "counts": self.counts,
            "fence": self.fence,
            "models": self.models,
            "orders": self.orders,
            "role": self.role,
        }
