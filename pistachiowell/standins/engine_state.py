"""State of the model engine stand-in: models, orders, counts and collapse."""

import os
import time
from random import Random

import anyio

from pistachiowell.standins.batching import Batch, PrefixCache
from pistachiowell.standins.behaviour import Behaviour, draw_request_faults

COLLAPSE_EXIT_CODE = 70
CRASH_EXIT_CODE = 71


class Engine:
    """State of the engine.

    Args:
        settings: Flag values; see ``define_flags``.
    """

    __slots__ = (
        "_rng",
        "_settings",
        "batch",
        "behaviour",
        "collapsed_until",
        "counts",
        "fence",
        "models",
        "orders",
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
        self.collapsed_until = 0.0
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
        """Whether the engine refuses everything after a collapse."""
        return time.monotonic() < self.collapsed_until

    def draw_request_faults(self, path, body):
        """Draws the faults of a request and counts it."""
        requests = self.counts["requests"]
        self.counts["requests"] += 1
        if self.behaviour.crashes(body):
            os._exit(CRASH_EXIT_CODE)
        return draw_request_faults(
            self.behaviour, self._rng, path, body, requests, self.batch.running
        )

    def submit(self, generation):
        """Queues a generation, or collapses when too many are held."""
        if self.batch.held >= self._settings.capacity:
            self._collapse()
            generation.fail("collapsed")
        else:
            self.batch.submit(generation)

    def finish(self, generation):
        """Counts a generation that has ended and frees it."""
        words = len(generation.prompt)
        self.counts["completion_tokens"] += generation.made
        self.counts["prompt_tokens"] += words if generation.made else 0
        self.counts["cached_tokens"] += generation.cached_words
        if not generation.done:
            self.batch.cancel(generation)
            self.counts["cancelled"] += 1
        elif generation.failed:
            self.counts["failed"] += 1
        else:
            self.counts["answered"] += 1

    def _collapse(self):
        if self._settings.collapse == "exit":
            os._exit(COLLAPSE_EXIT_CODE)
        self.counts["collapses"] += 1
        self.collapsed_until = time.monotonic() + self._settings.collapse_s
        self.batch.fail_all("collapsed")

    def load(self):
        """Returns the load report, which lags."""
        running, waiting = self.batch.load_before(self._settings.load_lag_s)
        slots = self._settings.slots
        return {"running": running, "waiting": waiting, "slots": slots}

    async def order(self, action, version, fence):
        """Takes a model order.

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
        """Returns everything that the control endpoint shows."""
        return {
            "behaviour": self.behaviour,
            "counts": self.counts,
            "fence": self.fence,
            "models": self.models,
            "orders": self.orders,
            "role": self.role,
        }
