"""Speeds of the engines, learned from the times to the first token.

Load pattern: engines of one service differ in speed by up to a third, and some are slow
for parts of a second. With one rate for all, the slow ones get as many prompts as the
others and collect a queue, and a queue that does not move looks like any other.

Only answers to prompts before which nothing was queued teach something: how long a
queue really was is known too badly. What all engines of a service have in common is a
line, the time to the first token over the tokens of the prompt. What one engine has of
its own is a factor on the slope of that line. Both rest on medians, so that some odd
answers do not change them, and a factor counts only where its confidence interval says
so: equal engines are treated alike and keep the prefixes that they have cached.
"""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median

# Seconds a token; keeps the expected times by which others are divided above 0.
MIN_SLOPE_S = 1e-7


@dataclass(frozen=True, slots=True)
class RateSettings:
    """Settings of the learned speeds.

    Attributes:
        prefill_tokens_per_s: Prompt tokens that an engine processes in a second, until
            answers show the rate.
        first_token_s: Time to the first token without any prompt, likewise.
        line_answers: Number of recent answers that the line of a service rests on.
        refit_answers: Number of answers after which the line is fitted again.
        engine_answers: Number of recent answers that the factor of an engine rests on.
        min_answers: Number of answers from which on a factor or a line is used.
        min_tokens: Tokens of a prompt from which on its answer shows the rate; the
            time for fewer is mostly that of other work.
        dead_band: Relative difference from the median engine that never counts.
        standard_errors: Half the width of the confidence interval of a factor, in
            standard errors of the rank of the median.
        max_factor: Largest factor of one engine.
        young_s: Seconds after the first request to a run of an engine for which its
            answers teach nothing.
        forget_s: Seconds without an answer after which a factor is dropped.
        max_stall_expected_s: Expected time to a first token above which its lateness
            shows no stall, as the length of a long queue is known too badly.
        stall_slack_s: Minimum lateness of a first token that counts as a stall.
        stall_cost_s: Cost of a stall that has just been found.
        max_stall_cost_s: Maximum cost of a stall.
        max_engines: Maximum number of engines with a factor.
    """

    prefill_tokens_per_s: float = 50_000.0
    first_token_s: float = 0.02
    line_answers: int = 64
    refit_answers: int = 8
    engine_answers: int = 64
    min_answers: int = 7
    min_tokens: int = 2_000
    dead_band: float = 0.05
    standard_errors: float = 2.0
    max_factor: float = 2.0
    young_s: float = 3.0
    forget_s: float = 30.0
    max_stall_expected_s: float = 0.05
    stall_slack_s: float = 0.1
    stall_cost_s: float = 0.1
    max_stall_cost_s: float = 0.5
    max_engines: int = 4096


class _Line:
    """Line of times over tokens, through medians of recent answers.

    Long prompts show its slope and short ones where it begins.
    """

    __slots__ = ("_long", "_settings", "_short", "answers", "intercept_s", "slope_s")

    def __init__(self, settings):
        self._settings = settings
        self._long = deque(maxlen=settings.line_answers)
        self._short = deque(maxlen=settings.line_answers)
        self.answers = 0
        self.intercept_s = settings.first_token_s
        self.slope_s = 1.0 / settings.prefill_tokens_per_s

    def record(self, tokens, time_s):
        """Records an answer to a prompt before which nothing was queued."""
        is_long = tokens >= self._settings.min_tokens
        (self._long if is_long else self._short).append((tokens, time_s))
        self.answers += is_long
        if is_long and self.answers % self._settings.refit_answers == 0:
            self._fit()

    def _fit(self):
        if self._short:
            intercepts_s = [
                time_s - self.slope_s * tokens for tokens, time_s in self._short
            ]
            self.intercept_s = max(0.0, median(intercepts_s))
        slopes_s = [
            (time_s - self.intercept_s) / tokens for tokens, time_s in self._long
        ]
        self.slope_s = max(MIN_SLOPE_S, median(slopes_s))


class _Factor:
    """Median of the recent times of prompts at one run of an engine, over the line's.

    Attributes:
        run: What differs between the runs of the engine.
        started_at: Time of the first request to this run in seconds.
        at: Time of the latest answer in seconds.
        low: Lower end of the confidence interval of the median.
        middle: The median.
        high: Upper end of the interval.
    """

    __slots__ = ("_ratios", "at", "started_at", "high", "low", "middle", "run")

    def __init__(self, run, settings, now):
        self.run = run
        self.started_at = self.at = now
        self._ratios = deque(maxlen=settings.engine_answers)
        self.low = self.middle = self.high = 1.0

    def __len__(self):
        return len(self._ratios)

    def record(self, ratio, settings, now):
        """Records the time of one prompt, divided by that of the line."""
        if now - self.at > settings.forget_s:
            self._ratios.clear()
        self.at = now
        self._ratios.append(ratio)
        ratios = sorted(self._ratios)
        # The rank of the median is binomially distributed.
        width = settings.standard_errors * math.sqrt(len(ratios)) / 2
        last = len(ratios) - 1
        self.low = ratios[max(0, math.floor(last / 2 - width))]
        self.high = ratios[min(last, math.ceil(last / 2 + width))]
        self.middle = median(ratios)


class EngineRates:
    """Learns how long engines take to the first token.

    Args:
        settings: ``RateSettings``.

    Examples:
        >>> rates = EngineRates(RateSettings(young_s=0.0))
        >>> for number in range(40):
        ...     for name, factor in (("s1", 1.0), ("s2", 1.0), ("s3", 1.5)):
        ...         rates.record_start(name, 7, 0.0)
        ...         tokens = 500 * (number % 20 + 1)
        ...         time_s = 0.02 + factor * tokens / 50_000
        ...         rates.record_first_token("chat", name, tokens, time_s, 0.1)
        >>> [round(factor, 1) for factor in rates.factors(["s1", "s2", "s3"], 1.0)]
        [1.0, 1.0, 1.5]
    """

    __slots__ = ("_factors", "_lines", "settings")

    def __init__(self, settings):
        self.settings = settings
        self._lines = {}
        self._factors = {}

    def is_learned(self, service):
        """Returns whether enough answers have shown the times of a service."""
        return self._line(service).answers >= self.settings.min_answers

    def time_s(self, service, server, tokens, now):
        """Returns the expected time to the first token at an engine in seconds.

        Args:
            service: Name of the service.
            server: Id of the server.
            tokens: Prompt tokens that are processed until then.
            now: Present time in seconds.
        """
        line, factor = self._line(service), self._known(server, now)
        own = factor.middle if factor is not None else 1.0
        return line.intercept_s + line.slope_s * tokens * own

    def record_start(self, server, run, now):
        """Records that a request is sent to a run of an engine.

        Args:
            server: Id of the server.
            run: Anything that differs between the runs of an engine.
            now: Present time in seconds.
        """
        factor = self._factors.get(server)
        if factor is None or factor.run != run:
            self._factors.pop(server, None)
            self._factors[server] = _Factor(run, self.settings, now)
            if len(self._factors) > self.settings.max_engines:
                del self._factors[next(iter(self._factors))]

    def record_gone(self, server):
        """Records that an engine refuses connections; its next run is a new one."""
        self._factors.pop(server, None)

    def record_first_token(self, service, server, tokens, time_s, now):
        """Records the answer to a prompt before which nothing was queued.

        Args:
            service: Name of the service.
            server: Id of the server.
            tokens: Prompt tokens that were processed until the first token.
            time_s: The time to it in seconds.
            now: Present time in seconds.
        """
        factor = self._factors.get(server)
        if factor is None or now - factor.started_at < self.settings.young_s:
            return
        line = self._line(service)
        if tokens >= self.settings.min_tokens:
            expected_s = line.slope_s * tokens
            ratio = max(0.0, time_s - line.intercept_s) / expected_s
            factor.record(ratio, self.settings, now)
        line.record(tokens, time_s)

    def factors(self, servers, now):
        """Returns the factor of each server on the time of the median one.

        It is exactly 1 unless the difference is more than chance explains.

        Args:
            servers: Ids of the servers that are compared.
            now: Present time in seconds.
        """
        known = [self._known(server, now) for server in servers]
        middles = [factor.middle for factor in known if factor is not None]
        if not middles:
            return [1.0] * len(known)
        middle = max(median(middles), 1.0 / self.settings.max_factor)
        return [self._relative(factor, middle) for factor in known]

    def stall_cost_s(self, late_s, expected_s):
        """Returns the cost of an engine whose next first token is overdue.

        Args:
            late_s: Seconds since its queue moved, or since the request was sent.
            expected_s: Seconds that it was expected to take.
        """
        settings = self.settings
        if expected_s > settings.max_stall_expected_s:
            return 0.0
        over_s = late_s - expected_s - max(settings.stall_slack_s, expected_s)
        if over_s <= 0.0:
            return 0.0
        return min(settings.max_stall_cost_s, settings.stall_cost_s + over_s)

    def _line(self, service):
        return self._lines.setdefault(service, _Line(self.settings))

    def _known(self, server, now):
        factor = self._factors.get(server)
        if factor is None or len(factor) < self.settings.min_answers:
            return None
        return factor if now - factor.at <= self.settings.forget_s else None

    def _relative(self, factor, middle):
        if factor is None:
            return 1.0
        band = 1.0 + self.settings.dead_band
        if factor.low <= middle * band and factor.high >= middle / band:
            return 1.0
        limit = self.settings.max_factor
        return min(max(factor.middle / middle, 1.0 / limit), limit)
