"""Continuous batching with a prefix cache, as model engines do it."""

import itertools
import time
from collections import OrderedDict, deque

import anyio

from pistachiowell.core.ids import stable_hash

BLOCK_WORDS = 16
LOAD_HISTORY = 4096


class Generation:
    """One request inside the engine.

    Attributes:
        answer: Words of the whole answer.
        made: Number of words made so far.
        failed: Reason why it ended early, or an empty text.
    """

    __slots__ = (
        "_changed",
        "_progress",
        "_slow_factor",
        "answer",
        "cached_words",
        "failed",
        "made",
        "priority",
        "prompt",
    )

    def __init__(self, prompt, answer, priority=0, slow_factor=1.0):
        self.prompt = prompt
        self.answer = answer
        self.priority = priority
        self.made = 0
        self.failed = ""
        self.cached_words = 0
        self._slow_factor = slow_factor
        self._progress = 0.0
        self._changed = anyio.Event()

    @property
    def done(self):
        """Whether no more words will come."""
        return bool(self.failed) or self.made >= len(self.answer)

    def advance(self):
        """Takes part in one step of the batch."""
        self._progress += 1.0 / self._slow_factor
        while self._progress >= 1.0 and not self.done:
            self._progress -= 1.0
            self.made += 1
        self._notify()

    def fail(self, reason):
        """Ends the generation early."""
        self.failed = reason
        self._notify()

    async def wait(self, seen):
        """Waits until more than ``seen`` words are made or it is done."""
        while self.made <= seen and not self.done:
            await self._changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = anyio.Event()


class PrefixCache:
    """Least recently used cache of prompt prefixes, in blocks of words.

    Args:
        max_blocks: Blocks kept.

    Examples:
        >>> cache = PrefixCache(4)
        >>> words = ["w"] * 40
        >>> cache.insert(words), cache.insert(words)
        (0, 32)
    """

    __slots__ = ("_blocks", "_max_blocks")

    def __init__(self, max_blocks):
        self._max_blocks = max_blocks
        self._blocks = OrderedDict()

    def insert(self, words):
        """Caches a prompt and returns how many of its words were cached."""
        cached, chained, missed = 0, "", False
        for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
            block = " ".join(words[start : start + BLOCK_WORDS])
            chained = str(stable_hash(chained, block))
            missed = missed or chained not in self._blocks
            cached += 0 if missed else BLOCK_WORDS
            self._blocks[chained] = True
            self._blocks.move_to_end(chained)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached


class Batch:
    """Runs generations together, one word each per step.

    Args:
        slots: Generations that run at once; others wait.
        word_s: Time of a step with one generation, in seconds.
        batch_cost: Share of ``word_s`` that each further generation adds.
        prompt_word_s: Time per uncached prompt word, in seconds.
        cache: A ``PrefixCache``.
    """

    __slots__ = (
        "_batch_cost",
        "_cache",
        "_history",
        "_numbers",
        "_prompt_word_s",
        "_running",
        "_slots",
        "_waiting",
        "_wake",
        "_word_s",
    )

    def __init__(self, slots, word_s, batch_cost, prompt_word_s, cache):
        self._slots = slots
        self._word_s = word_s
        self._batch_cost = batch_cost
        self._prompt_word_s = prompt_word_s
        self._cache = cache
        self._running = []
        self._waiting = []
        self._numbers = itertools.count()
        self._history = deque([(0.0, 0, 0)], maxlen=LOAD_HISTORY)
        self._wake = anyio.Event()

    @property
    def running(self):
        """Number of generations in the batch."""
        return len(self._running)

    @property
    def held(self):
        """Number of generations running or waiting."""
        return len(self._running) + len(self._waiting)

    def submit(self, generation):
        """Queues a generation; a higher priority goes first."""
        self._waiting.append((-generation.priority, next(self._numbers), generation))
        self._waiting.sort(key=lambda item: item[:2])
        self._record()
        self._wake.set()

    def cancel(self, generation):
        """Removes a generation, if it is still held."""
        if generation in self._running:
            self._running.remove(generation)
        self._waiting = [item for item in self._waiting if item[2] is not generation]
        generation.fail("cancelled")
        self._record()

    def fail_all(self, reason):
        """Ends every generation held."""
        held = self._running + [item[2] for item in self._waiting]
        self._running, self._waiting = [], []
        for generation in held:
            generation.fail(reason)
        self._record()

    def load_before(self, lag_s):
        """Returns ``(running, waiting)`` as it was ``lag_s`` seconds ago."""
        limit = time.monotonic() - lag_s
        for at, running, waiting in reversed(self._history):
            if at <= limit:
                return running, waiting
        return 0, 0

    async def run(self):
        """Steps the batch until cancelled."""
        while True:
            prefill_s = self._admit()
            if not self._running:
                await self._wake.wait()
                self._wake = anyio.Event()
                continue
            await anyio.sleep(prefill_s + self._step_s())
            for generation in self._running:
                generation.advance()
            self._running = [one for one in self._running if not one.done]
            self._record()

    def _admit(self):
        uncached = 0
        while self._waiting and len(self._running) < self._slots:
            generation = self._waiting.pop(0)[2]
            generation.cached_words = self._cache.insert(generation.prompt)
            uncached += len(generation.prompt) - generation.cached_words
            self._running.append(generation)
        return uncached * self._prompt_word_s

    def _step_s(self):
        return self._word_s * (1.0 + self._batch_cost * (len(self._running) - 1))

    def _record(self):
        load = (len(self._running), len(self._waiting))
        if self._history[-1][1:] != load:
            self._history.append((time.monotonic(), *load))
