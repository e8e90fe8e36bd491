"""Judgement of a new version against the old one.

The sequential judge compares both versions on one route in one window by the Bayes
factor of a two-by-two table: "two rates" against "one rate", both with uniform
priors. Under one rate a Bayes factor reaches ``1 / ERROR_RATE`` at any time with a
probability of at most ``ERROR_RATE`` (Ville's inequality, on average over the
prior), so it may be looked at after every answer.

References:
    Kass, Raftery: Bayes factors, Journal of the American Statistical Association,
    1995.
"""

import math
from dataclasses import dataclass

ERROR_RATE = 0.0005
BAD_SCORE = math.log(1.0 / ERROR_RATE)
SUSPECT_SCORE = math.log(20.0)
SPANS_S = (4.0, 20.0, 120.0, math.inf)
MIN_FAILURE_EFFECT = 0.03
MIN_LATENCY_EFFECT = 0.15
LATENCY_QUANTILE = 0.9
MIN_OLD_LATENCIES = 10

_JUDGES = {}


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a judgement.

    Attributes:
        failure_score: Logarithm of the Bayes factor on failures.
        latency_score: Logarithm of the Bayes factor on latency.
        sums: The ``Sums`` of the span with the highest score.
    """

    failure_score: float
    latency_score: float
    sums: object

    @property
    def score(self):
        """The higher score."""
        return max(self.failure_score, self.latency_score)

    @property
    def is_bad(self):
        """Whether the new version is worse than the old one."""
        return self.score >= BAD_SCORE

    @property
    def is_suspect(self):
        """Whether the stage must not be raised."""
        return self.score >= SUSPECT_SCORE


def judge(name):
    """Returns a decorator that registers a judge by name."""

    def decorate(function):
        _JUDGES[name] = function
        return function

    return decorate


def find_judge(name):
    """Returns a judge: a function of ``Evidence`` and ``now`` giving a ``Verdict``."""
    return _JUDGES[name]


def log_bayes_factor(hits_a, total_a, hits_b, total_b):
    """Returns the logarithm of the Bayes factor of two rates against one rate.

    Examples:
        >>> log_bayes_factor(3, 3, 0, 100) > BAD_SCORE
        True
        >>> log_bayes_factor(1, 100, 1, 100) < 0
        True
    """
    two = _log_beta(hits_a, total_a) + _log_beta(hits_b, total_b)
    return two - _log_beta(hits_a + hits_b, total_a + total_b)


def _log_beta(hits, total):
    misses = total - hits
    return math.lgamma(hits + 1) + math.lgamma(misses + 1) - math.lgamma(total + 2)


def worse_score(new_hits, new_total, old_hits, old_total, min_effect):
    """Scores "the new version's rate is higher by more than an effect".

    Args:
        new_hits: Failures or slow answers of the new version.
        new_total: Answers of the new version.
        old_hits: Failures or slow answers of the old version.
        old_total: Answers of the old version.
        min_effect: Difference of the rates below which the score is 0.

    Returns:
        The logarithm of the Bayes factor, at least 0.
    """
    if not new_total or not old_total:
        return 0.0
    if new_hits / new_total - old_hits / old_total < min_effect:
        return 0.0
    return max(0.0, log_bayes_factor(new_hits, new_total, old_hits, old_total))


def failure_score(sums):
    """Scores the failures of ``Sums``."""
    old, new = 0, 1
    return worse_score(
        sums.failures[new],
        sums.answers[new],
        sums.failures[old],
        sums.answers[old],
        MIN_FAILURE_EFFECT,
    )


def latency_score(sums):
    """Scores the share of answers slower than nine in ten of the old version."""
    old_buckets, new_buckets = sums.buckets
    old_total, new_total = sum(old_buckets.values()), sum(new_buckets.values())
    if old_total < MIN_OLD_LATENCIES or not new_total:
        return 0.0
    limit = _quantile_bucket(old_buckets, old_total)
    old_slow = sum(n for bucket, n in old_buckets.items() if bucket > limit)
    new_slow = sum(n for bucket, n in new_buckets.items() if bucket > limit)
    return worse_score(new_slow, new_total, old_slow, old_total, MIN_LATENCY_EFFECT)


def _quantile_bucket(buckets, total):
    seen = 0
    for bucket in sorted(buckets):
        seen += buckets[bucket]
        if seen >= LATENCY_QUANTILE * total:
            return bucket
    return max(buckets)


@judge("sequential")
def judge_sequentially(evidence, now):
    """Scores several spans; faults of one place alone do not count."""
    verdicts = [_judge_span(evidence, now - span_s) for span_s in SPANS_S]
    return max(verdicts, key=lambda verdict: verdict.score)


def _judge_span(evidence, since):
    verdict = _score(evidence.sums(since))
    if not verdict.is_suspect:
        return verdict
    others = [evidence.sums(since, rule) for rule in _exclusions(evidence)]
    # Without answers of the old version there is nothing to compare with.
    scores = [_score(sums) for sums in others if sums.answers[0]]
    return min([verdict, *scores], key=lambda each: each.score)


def _score(sums):
    return Verdict(failure_score(sums), latency_score(sums), sums)


def _exclusions(evidence):
    """Yields rules that leave out the worst server and the worst data centre."""
    servers, centres = evidence.places()
    if len(servers) > 1:
        worst_server = max(servers, key=servers.get)
        yield lambda answer: answer.server == worst_server
    if len(centres) > 1:
        worst_centre = max(centres, key=centres.get)
        yield lambda answer: answer.data_centre == worst_centre


@judge("naive")
def judge_naively(evidence, now):
    """Finds every version good."""
    return Verdict(0.0, 0.0, evidence.sums(now))
