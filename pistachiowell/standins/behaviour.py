"""Faults that are injected into the server stand-ins over their control endpoint."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Configures the faults of a server stand-in and when they apply.

    ``fail_share``, ``cut_share`` and ``slow_factor`` apply to a request only if it
    meets all conditions from ``after_requests`` to ``only_marker``. The other fields
    do not depend on these conditions.

    Attributes:
        fail_share: Share of requests answered with status 500, from 0 to 1.
        cut_share: Share of answers, from 0 to 1, whose connection is closed before the
            answer is complete.
        slow_factor: Factor on the time per generated word, or per run of a plain
            service; above 1 is slower.
        after_requests: Number of requests that are served without these faults first.
        over_running: The faults apply only while more requests than this are running.
        only_path: The faults apply only to requests on this path; empty for all paths.
        only_marker: The faults apply only to bodies that contain this text; empty for
            all bodies.
        crash_marker: A body that contains this text makes the process exit at once;
            empty for no crash.
        refuse: Whether every request is answered with status 503 without being run.
        lose_answer: Whether a plain service runs each request and then closes the
            connection instead of answering, so that the caller cannot know that it
            ran.
    """

    fail_share: float = 0.0
    cut_share: float = 0.0
    slow_factor: float = 1.0
    after_requests: int = 0
    over_running: int = -1
    only_path: str = ""
    only_marker: str = ""
    crash_marker: str = ""
    refuse: bool = False
    lose_answer: bool = False

    def applies(self, path, body, requests, running):
        """Returns whether a request meets the conditions of the faults.

        Args:
            path: Path of the request.
            body: Body as bytes.
            requests: Number of requests received before this one.
            running: Number of requests that are running.

        Examples:
            >>> Behaviour(after_requests=2).applies("/", b"", 1, 0)
            False
            >>> Behaviour(only_marker="x").applies("/", b"xyz", 0, 0)
            True
        """
        return (
            requests >= self.after_requests
            and running > self.over_running
            and self.only_path in ("", path)
            and self.only_marker.encode() in body
        )

    def crashes(self, body):
        """Returns whether a body contains the marker that crashes the process."""
        return bool(self.crash_marker) and self.crash_marker.encode() in body


@dataclass(frozen=True, slots=True)
class RequestFaults:
    """Faults of one request.

    Attributes:
        fails: Whether it is answered with status 500.
        drops_connection: Whether its connection is closed before the answer is
            complete.
        slow_factor: Factor on the time of its run.
    """

    fails: bool = False
    drops_connection: bool = False
    slow_factor: float = 1.0


def draw_request_faults(behaviour, rng, path, body, requests, running):
    """Draws the faults of one request at random.

    Makes two draws for a request that meets the conditions of ``behaviour`` and none
    for another, so the same seed and sequence of requests give the same faults.

    Args:
        behaviour: A ``Behaviour``.
        rng: A seeded ``random.Random``.
        path: Path of the request.
        body: Body as bytes.
        requests: Number of requests received before this one.
        running: Number of requests that are running.

    Returns:
        ``RequestFaults``; without any fault if the conditions are not met.
    """
    if not behaviour.applies(path, body, requests, running):
        return RequestFaults()
    return RequestFaults(
        fails=rng.random() < behaviour.fail_share,
        drops_connection=rng.random() < behaviour.cut_share,
        slow_factor=behaviour.slow_factor,
    )
