"""Settings of admission control."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of an ``AdmissionQueue``.

    Attributes:
        slots: Maximum number of requests that the backend server may run at once.
        max_waiting: Maximum number of requests that may wait for a slot.
        max_waiting_bytes: Maximum bytes of the bodies of waiting requests.
        limit: Name of the concurrency limit in ``LIMITS``.
        discipline: Name of the queue discipline in ``DISCIPLINES``.
        max_overtakes: By priority class, how many requests of higher classes may start
            before its oldest request does; this bounds starvation.
        solo_wait_s: Maximum time in seconds that a solo request waits for the requests
            in progress to end; nothing else starts meanwhile.
        min_retry_after_s: Minimum of the retry delay that a refusal suggests, in
            seconds.
        max_retry_after_s: Maximum of that delay in seconds.
        wait_margin: Ratio of the estimated wait to the time left to start, above which
            a request is refused at once.
    """

    slots: int = 8
    max_waiting: int = 256
    max_waiting_bytes: int = 16 * 1024 * 1024
    limit: str = "adaptive"
    discipline: str = "weighted_fair"
    max_overtakes: tuple[tuple[str, int], ...] = (("label", 8), ("report", 32))
    solo_wait_s: float = 10.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 30.0
    wait_margin: float = 1.0
