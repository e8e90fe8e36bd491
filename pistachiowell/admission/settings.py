"""Settings of admission."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of an ``AdmissionQueue``.

    Attributes:
        slots: Most requests that the backend server may run at once.
        max_waiting: Most requests that may wait for a slot.
        max_waiting_bytes: Most bytes of bodies that may wait.
        limit: Name of the concurrency limit in ``LIMITS``.
        discipline: Name of the queue discipline in ``DISCIPLINES``.
        overtakes: By priority class, how many starts of higher classes may pass
            its oldest request by before it goes first.
        solo_wait_s: Longest wait in seconds of a solo request for the requests in
            progress to end, while nothing new starts.
        min_retry_after_s: Smallest hint of a refusal in seconds.
        max_retry_after_s: Largest hint of a refusal in seconds.
        wait_margin: Factor by which the estimated wait must pass the time that is
            left before a request is refused without waiting.
    """

    slots: int = 8
    max_waiting: int = 256
    max_waiting_bytes: int = 16 * 1024 * 1024
    limit: str = "adaptive"
    discipline: str = "weighted_fair"
    overtakes: tuple[tuple[str, int], ...] = (("label", 8), ("report", 32))
    solo_wait_s: float = 10.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 30.0
    wait_margin: float = 1.0
