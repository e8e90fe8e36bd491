"""Imitates continuous batching and the prefix cache of a model engine.

All running generations advance together, step by step. A generation that waits joins
the batch between two steps as soon as a slot is free, without waiting for the others
to finish. Each word stands for one token.
"""

import itertools
import time
from collections import OrderedDict, deque

import anyio

from pistachiowell.core.ids import stable_hash

BLOCK_WORDS = 16
MAX_LOAD_CHANGES = 4096


class Generation:
    """One request inside the engine.

    Args:
        prompt: Words of the prompt.
        answer: Words that it generates, one after another.
        priority: Priority in the queue; higher runs first.
        slow_factor: Number of steps of the batch per word.

    Attributes:
        answer: Words of the whole answer.
        cached_words: Number of prompt words found in the prefix cache.
        failure_reason: Why it ended before its last word; empty if it did not.
        generated_words: Number of words generated so far.
        priority: Priority in the queue; higher runs first.
        prompt: Words of the prompt.
    """

    __slots__ = (
        "_changed",
        "_progress",
        "_slow_factor",
        "answer",
        "cached_words",
        "failure_reason",
        "generated_words",
        "priority",
        "prompt",
    )

    def __init__(self, prompt, answer, priority=0, slow_factor=1.0):
        self.prompt = prompt
        self.answer = answer
        self.priority = priority
        self.generated_words = 0
        self.failure_reason = ""
        self.cached_words = 0
        self._slow_factor = slow_factor
        self._progress = 0.0
        self._changed = anyio.Event()

    @property
    def done(self):
        """Whether it has generated all words or failed."""
        return bool(self.failure_reason) or self.generated_words >= len(self.answer)

    def advance(self):
        """Advances by one step of the batch."""
        self._progress += 1.0 / self._slow_factor
        while self._progress >= 1.0 and not self.done:
            self._progress -= 1.0
            self.generated_words += 1
        self._notify()

    def fail(self, reason):
        """Ends the generation before its last word."""
        self.failure_reason = reason
        self._notify()

    async def wait(self, known_words):
        """Waits until more than ``known_words`` words are generated or it is done."""
        while self.generated_words <= known_words and not self.done:
            await self._changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = anyio.Event()


class PrefixCache:
    """Least recently used cache of prompt prefixes, in blocks of words.

    The key of a block covers all blocks before it, so two prompts share cached blocks
    only as far as they are equal from their first word on.

    Args:
        max_blocks: Largest number of blocks in the cache.

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
        """Caches a prompt and returns how many of its words were cached before."""
        cached, chain_hash, missed = 0, "", False
        for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
            block = " ".join(words[start : start + BLOCK_WORDS])
            chain_hash = str(stable_hash(chain_hash, block))
            missed = missed or chain_hash not in self._blocks
            cached += 0 if missed else BLOCK_WORDS
            self._blocks[chain_hash] = True
            self._blocks.move_to_end(chain_hash)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached


class Batch:
    """Runs generations together, one word each per step.

    Prompts that join the batch delay the next step of all its generations by their
    uncached words, as a prefill does in an engine.

    Args:
        slots: Largest number of generations that run at once; others wait.
        word_s: Time of a step with one generation, in seconds.
        batch_cost: Share of ``word_s`` by which each further generation prolongs a
            step.
        prompt_word_s: Time per uncached prompt word, in seconds.
        cache: A ``PrefixCache``.
    """

    __slots__ = (
        "_arrivals",
        "_batch_cost",
        "_cache",
        "_load_history",
        "_prompt_word_s",
        "_running",
        "_slots",
        "_waiting",
        "_word_s",
        "_work_added",
    )

    def __init__(self, slots, word_s, batch_cost, prompt_word_s, cache):
        self._slots = slots
        self._word_s = word_s
        self._batch_cost = batch_cost
        self._prompt_word_s = prompt_word_s
        self._cache = cache
        self._running = []
        self._waiting = []
        self._arrivals = itertools.count()
        self._load_history = deque([(0.0, 0, 0)], maxlen=MAX_LOAD_CHANGES)
        self._work_added = anyio.Event()

    @property
    def running(self):
        """Number of generations that run in the batch."""
        return len(self._running)

    @property
    def unfinished(self):
        """Number of generations that run or wait."""
        return len(self._running) + len(self._waiting)

    def submit(self, generation):
        """Queues a generation; higher priority first, then in order of arrival."""
        self._waiting.append((-generation.priority, next(self._arrivals), generation))
        self._waiting.sort(key=lambda item: item[:2])
        self._record_load()
        self._work_added.set()

    def cancel(self, generation):
        """Removes a generation from the batch and the queue and marks it as failed."""
        if generation in self._running:
            self._running.remove(generation)
        self._waiting = [item for item in self._waiting if item[2] is not generation]
        generation.fail("cancelled")
        self._record_load()

    def fail_all(self, reason):
        """Fails all generations that run or wait."""
        unfinished = self._running + [item[2] for item in self._waiting]
        self._running, self._waiting = [], []
        for generation in unfinished:
            generation.fail(reason)
        self._record_load()

    def lagged_load(self, lag_s):
        """Returns ``(running, waiting)`` of ``lag_s`` seconds ago.

        Imitates a load report that is out of date when it arrives. If the history
        no longer reaches back so far, the load is reported as zero.
        """
        report_time = time.monotonic() - lag_s
        for at, running, waiting in reversed(self._load_history):
            if at <= report_time:
                return running, waiting
        return 0, 0

    async def run(self):
        """Runs steps of the batch until cancelled."""
        while True:
            prefill_s = self._admit()
            if not self._running:
                await self._work_added.wait()
                self._work_added = anyio.Event()
                continue
            await anyio.sleep(prefill_s + self._step_s())
            for generation in self._running:
                generation.advance()
            self._running = [one for one in self._running if not one.done]
            self._record_load()

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

    def _record_load(self):
        load = (len(self._running), len(self._waiting))
        if self._load_history[-1][1:] != load:
            self._load_history.append((time.monotonic(), *load))
