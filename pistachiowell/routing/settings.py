"""Settings of routing."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Settings of picks, health, retries and held bytes.

    Attributes:
        picker: Name of the pick policy in ``PICKERS``.
        affinity_extra_load: Share above the mean load up to which a server keeps
            its prefixes.
        spill_load: Load by slot of the near servers above which farther ones are
            taken too.
        report_timeout_s: Age in seconds above which a load report counts for
            nothing.
        refusal_s: Seconds for which a server that refused counts as full, whatever
            it reports.
        eject_failures: Failures in a row that eject a server.
        eject_slow_factor: Latency against the median of its peers that ejects.
        eject_s: First ejection in seconds; doubles on each further one.
        eject_max_s: Longest ejection in seconds.
        eject_max_share: Most servers of one set that may be ejected.
        retry_share: Retries allowed by first attempt.
        retry_burst: Retries allowed after a quiet time.
        max_attempts: Most attempts of one request.
        retry_min_left_s: Time to the deadline in seconds below which no retry is
            made.
    """

    picker: str = "two_choices"
    affinity_extra_load: float = 0.25
    spill_load: float = 1.0
    report_timeout_s: float = 3.0
    refusal_s: float = 0.5
    eject_failures: int = 3
    eject_slow_factor: float = 4.0
    eject_s: float = 2.0
    eject_max_s: float = 60.0
    eject_max_share: float = 0.5
    retry_share: float = 0.1
    retry_burst: float = 10.0
    max_attempts: int = 3
    retry_min_left_s: float = 0.05
