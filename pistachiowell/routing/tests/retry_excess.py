"""How far the retries of a fleet exceed what the fleet may send."""


def _count_within(times, begin, window_s):
    return sum(begin < at <= begin + window_s for at in times)


def worst_excess_over_time(requests, retries, settings):
    """Returns the worst excess, where earlier windows may allow the retries too.

    Args:
        requests: Times of the requests in seconds.
        retries: Times of the retries in seconds.
        settings: ``RetryShareSettings``.
    """
    worst = float("-inf")
    for end in retries:
        begins = [end - settings.window_s * back for back in (1.0, 1.5, 2.0)]
        received = max(
            _count_within(requests, begin, settings.window_s) for begin in begins
        )
        sent = _count_within(retries, begins[0], settings.window_s)
        worst = max(worst, sent - settings.ratio * received - settings.fixed)
    return worst
