"""Settings of routing."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Settings of server selection, outlier ejection and retries.

    Attributes:
        picker: Name of the selection policy in ``PICKERS``.
        affinity_extra_load: Share above the mean load up to which a server keeps
            getting requests with its prefixes.
        spill_load: Load per slot from which on a server counts as full; farther
            servers are used once all nearer ones are full.
        report_timeout_s: Age in seconds above which a load report is ignored.
        refusal_hold_s: Seconds for which a server that refused a request counts as
            full, whatever it reports.
        eject_failures: Consecutive failures that eject a server.
        eject_slow_factor: Ratio of the latency of a server to the median of its set
            above which it is ejected.
        eject_s: Length of the first ejection in seconds; each further one is twice as
            long.
        eject_max_s: Maximum length of an ejection in seconds.
        eject_max_share: Maximum share of the servers of one set that may be left out.
        retry_ratio: Retries allowed for each request.
        retry_burst: Retries allowed at once after a time without retries.
        max_attempts: Maximum number of attempts of one request.
        retry_min_left_s: Time to the deadline in seconds below which a request is not
            retried.
    """

    picker: str = "two_choices"
    affinity_extra_load: float = 0.25
    spill_load: float = 1.0
    report_timeout_s: float = 3.0
    refusal_hold_s: float = 0.5
    eject_failures: int = 3
    eject_slow_factor: float = 4.0
    eject_s: float = 2.0
    eject_max_s: float = 60.0
    eject_max_share: float = 0.5
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    max_attempts: int = 3
    retry_min_left_s: float = 0.05
