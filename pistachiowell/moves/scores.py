"""Scores of the answers of a new version against those of the old one.

Each score is the natural logarithm of a Bayes factor, or of a likelihood ratio, so that
scores of independent answers add up.

References:
    Kass, Raftery: Bayes factors, Journal of the American Statistical Association,
    1995.
"""

import math

from pistachiowell.moves.evidence import BUCKETS_PER_DOUBLING

ERROR_RATE = 0.0005
BAD_SCORE = math.log(1.0 / ERROR_RATE)
MIN_FAILURE_EFFECT = 0.03
MIN_LATENCY_EFFECT = 0.15
# Failure rates beyond that of the old version, of a version that often fails, of one
# that fails somewhat more and of one that is good.
BAD_FAILURE_EXCESS = 0.28
SLIGHT_FAILURE_EXCESS = 0.1
GOOD_FAILURE_EXCESS = 0.03
LATENCY_QUANTILE = 0.9
# Exponents of the alternatives that a whole distribution is compared with.
TILTS = (2, 4, 8)
MIN_OLD_LATENCIES = 10
# A version whose caches are still empty is somewhat slower.
SLACK_BUCKETS = BUCKETS_PER_DOUBLING
# Whole answers depend less on caches.
END_SLACK_BUCKETS = BUCKETS_PER_DOUBLING // 2


def log_bayes_factor(hits_a, total_a, hits_b, total_b):
    """Returns the logarithm of the Bayes factor of two rates against one rate.

    Args:
        hits_a: Number of hits in the first sample.
        total_a: Size of the first sample.
        hits_b: Number of hits in the second sample.
        total_b: Size of the second sample.

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
    """Scores the hypothesis that the new version's rate is higher by a minimum effect.

    Args:
        new_hits: Failures or slow answers of the new version.
        new_total: Answers of the new version.
        old_hits: Failures or slow answers of the old version.
        old_total: Answers of the old version.
        min_effect: Difference of the rates below which the score is 0, so that many
            answers do not make an irrelevant difference count.

    Returns:
        The natural logarithm of the Bayes factor, at least 0.
    """
    if not new_total or not old_total:
        return 0.0
    if new_hits / new_total - old_hits / old_total < min_effect:
        return 0.0
    return max(0.0, log_bayes_factor(new_hits, new_total, old_hits, old_total))


def failure_score(sums):
    """Scores the failure rates of ``AnswerSums``."""
    old, new = 0, 1
    return worse_score(
        sums.failures[new],
        sums.answers[new],
        sums.failures[old],
        sums.answers[old],
        MIN_FAILURE_EFFECT,
    )


def failure_clearance(sums, excess=BAD_FAILURE_EXCESS):
    """Scores how far the answers speak against a version that fails more often.

    Args:
        sums: The ``AnswerSums``.
        excess: Failure rate beyond that of the old version.

    Returns:
        The natural logarithm of the likelihood ratio of a good version against one
        with the excess.

    Examples:
        >>> from pistachiowell.moves.evidence import AnswerSums
        >>> sums = AnswerSums()
        >>> sums.answers = [100, 12]
        >>> round(failure_clearance(sums), 1)
        3.6
        >>> sums.failures = [0, 2]
        >>> failure_clearance(sums) < 0
        True
        >>> sums.answers, sums.failures = [500, 35], [25, 5]
        >>> failure_clearance(sums) > 0, failure_clearance(sums, 0.1) > 0
        (True, False)
    """
    old, new = 0, 1
    rate = (sums.failures[old] + 0.5) / (sums.answers[old] + 1)
    good = min(0.9, rate + GOOD_FAILURE_EXCESS)
    bad = min(0.95, rate + excess)
    failed = sums.failures[new]
    passed = sums.answers[new] - failed
    return failed * math.log(good / bad) + passed * math.log((1 - good) / (1 - bad))


def latency_score(sums):
    """Scores the shares of slow answers of ``AnswerSums``, ended and running ones."""
    begin_score = running_score(sums.begun, sums.waited_for)
    return max(end_score(sums), begin_score, running_score(sums.paced, sums.pacing))


def running_score(reached, waiting):
    """Scores the shares of answers that reach a phase late.

    Late is twice what nine in ten of the old version take, or more.

    Args:
        reached: Answers that have reached the phase, by bucket of the time that they
            took, of the old and the new version.
        waiting: Answers that have not, by bucket of the time so far.
    """
    total_at_old = sum(reached[0].values())
    if total_at_old < MIN_OLD_LATENCIES:
        return 0.0
    limit = _quantile_bucket(reached[0], total_at_old) + SLACK_BUCKETS
    slow, total = [0, 0], [0, 0]
    for side in (0, 1):
        late = _count_above(waiting[side], limit)
        slow[side] = late + _count_above(reached[side], limit)
        total[side] = late + sum(reached[side].values())
    return worse_score(slow[1], total[1], slow[0], total[0], MIN_LATENCY_EFFECT)


def distribution_score(reached, waiting, slack_buckets):
    """Scores the hypothesis that all answers of the new version are slower.

    Each answer of the new version, made faster by the slack, gets its rank among those
    of the old version. If it is no slower, ranks are uniform at most; the score is the
    Bayes factor of a mixture of densities ``k * rank ** (k - 1)``. Unlike a count of
    slow answers it uses how slow each answer is, so few answers are enough. An answer
    that is still waited for counts by the chance that it takes so long, or longer.

    Args:
        reached: Answers that have reached a phase, by bucket of the time that they
            took, of the old and the new version.
        waiting: Answers that have not, by bucket of the time so far.
        slack_buckets: Buckets by which the new version may be slower.

    Returns:
        The natural logarithm of the Bayes factor, at least 0.

    Examples:
        >>> old, same, slow = {10: 60}, {10: 20}, {18: 20}
        >>> distribution_score((old, same), ({}, {}), 2)
        0.0
        >>> distribution_score((old, slow), ({}, {}), 2) > BAD_SCORE
        True
    """
    old = sorted(
        (bucket, reached[0].get(bucket, 0) + waiting[0].get(bucket, 0))
        for bucket in reached[0].keys() | waiting[0].keys()
    )
    if sum(reached[0].values()) < MIN_OLD_LATENCIES:
        return 0.0
    scores = [0.0] * len(TILTS)
    for bucket, count in reached[1].items():
        rank = _rank(old, bucket - slack_buckets)
        for index, tilt in enumerate(TILTS):
            scores[index] += count * (math.log(tilt) + (tilt - 1) * math.log(rank))
    for bucket, count in waiting[1].items():
        rank = _rank(old, bucket - slack_buckets)
        for index, tilt in enumerate(TILTS):
            scores[index] += count * math.log((1 - rank**tilt) / (1 - rank))
    best = max(scores)
    mean = sum(math.exp(score - best) for score in scores) / len(TILTS)
    return max(0.0, best + math.log(mean))


def _rank(counts, bucket):
    """Returns the mid-rank of a bucket among counts, between 0 and 1 exclusively."""
    below = sum(count for other, count in counts if other < bucket)
    equal = sum(count for other, count in counts if other == bucket)
    total = sum(count for _, count in counts)
    return (below + 0.5 * equal + 0.5) / (total + 1)


def overdue_answers(sums):
    """Returns how many answers of the new version take longer than most at the old one.

    Args:
        sums: The ``AnswerSums``.

    Returns:
        The number of those that are waited for or have few events and would be further
        in nine of ten cases; 0 without answers of the old version to compare with.
    """
    begin = _overdue(sums.begun[0], sums.waited_for[1])
    return begin + _overdue(sums.paced[0], sums.pacing[1])


def _overdue(reached_at_old, waiting_at_new):
    total = sum(reached_at_old.values())
    if not total:
        return 0
    return _count_above(waiting_at_new, _quantile_bucket(reached_at_old, total))


def end_score(sums):
    """Scores the shares of answers that end later than nine in ten of the old version.

    Args:
        sums: The ``AnswerSums``.
    """
    old_buckets, new_buckets = sums.buckets
    old_total, new_total = sum(old_buckets.values()), sum(new_buckets.values())
    if old_total < MIN_OLD_LATENCIES or not new_total:
        return 0.0
    limit = _quantile_bucket(old_buckets, old_total)
    old_slow = _count_above(old_buckets, limit)
    new_slow = _count_above(new_buckets, limit)
    return worse_score(new_slow, new_total, old_slow, old_total, MIN_LATENCY_EFFECT)


def _count_above(buckets, limit):
    return sum(count for bucket, count in buckets.items() if bucket > limit)


def _quantile_bucket(buckets, total):
    seen = 0
    for bucket in sorted(buckets):
        seen += buckets[bucket]
        if seen >= LATENCY_QUANTILE * total:
            return bucket
    return max(buckets)


def whole_latency_score(sums):
    """Scores the latency of ``AnswerSums`` by shares and by whole distributions."""
    nothing = ({}, {})
    return max(
        latency_score(sums),
        distribution_score(sums.begun, sums.waited_for, SLACK_BUCKETS),
        distribution_score(sums.paced, sums.pacing, SLACK_BUCKETS),
        distribution_score(sums.buckets, nothing, END_SLACK_BUCKETS),
    )
