"""Faults that the server stand-ins show on order."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How a server stand-in misbehaves, and when.

    The conditions ``after_requests`` to ``only_marker`` must all hold for
    ``fail_share``, ``cut_share`` and ``slow_factor`` to apply.

    Attributes:
        fail_share: Share of requests answered with status 500.
        cut_share: Share of answers whose connection ends half-way.
        slow_factor: Factor on the time per token or run.
        after_requests: Requests that are served well before the faults begin.
        over_running: The faults apply only while more requests than this run.
        only_path: The faults apply only on this path; empty for all.
        only_marker: The faults apply only to bodies with this text; empty for all.
        crash_marker: A body with this text ends the process; empty for none.
        refuse: Whether each request is answered with status 503.
        lose_answer: A plain service runs the request, then ends the connection.
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
        """Tells whether the faults apply to a request.

        Args:
            path: Path of the request.
            body: Body as bytes.
            requests: Requests seen before this one.
            running: Requests that run now.

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
        """Tells whether a body ends the process."""
        return bool(self.crash_marker) and self.crash_marker.encode() in body


@dataclass(frozen=True, slots=True)
class Fate:
    """What happens to one request.

    Attributes:
        fails: Whether it is answered with status 500.
        cut: Whether its connection ends half-way through the answer.
        slow_factor: Factor on its time.
    """

    fails: bool = False
    cut: bool = False
    slow_factor: float = 1.0


def draw_fate(behaviour, rng, path, body, requests, running):
    """Draws the fate of one request; see ``Behaviour.applies``.

    Args:
        behaviour: A ``Behaviour``.
        rng: A seeded ``random.Random``.
        path: Path of the request.
        body: Body as bytes.
        requests: Requests seen before this one.
        running: Requests that run now.
    """
    if not behaviour.applies(path, body, requests, running):
        return Fate()
    return Fate(
        fails=rng.random() < behaviour.fail_share,
        cut=rng.random() < behaviour.cut_share,
        slow_factor=behaviour.slow_factor,
    )
