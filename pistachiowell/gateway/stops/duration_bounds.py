"""How long a request may last, from what it names as its most and from recent ones."""

from pistachiowell.routing import AnswerTimes, AnswerTimeSettings

MAX_SERVICES = 256


class DurationBounds:
    """Bounds of the durations of requests, learned for each service.

    Services are told apart, and routes are not: a change of the configuration may
    rename a route, or move it to other servers.

    Args:
        settings: ``AnswerTimeSettings``; None for the defaults.

    Examples:
        >>> from types import SimpleNamespace
        >>> route = SimpleNamespace(weights={"desk": 1}, has_prompts=False)
        >>> bounds = DurationBounds()
        >>> bounds.bound_s(route, None, 0.0) is None
        True
    """

    __slots__ = ("_settings", "_times")

    def __init__(self, settings=None):
        self._settings = settings or AnswerTimeSettings()
        self._times = {}

    def bound_s(self, route, prompt, now):
        """Returns the seconds that a request may last; None if it is not known.

        Args:
            route: The ``Route``.
            prompt: The ``Prompt``; None without one.
            now: Present time in seconds.
        """
        names = [name for name, weight in route.weights.items() if weight > 0]
        bounds_s = [self._service_bound_s(name, route, prompt, now) for name in names]
        return None if None in bounds_s else max(bounds_s, default=None)

    def assumed_bound_s(self, prompt):
        """Returns the seconds assumed of a stream whose ``bound_s`` is not known.

        Args:
            prompt: The ``Prompt``.
        """
        return self._settings.assumed_bound_s(prompt.max_output_tokens)

    def _service_bound_s(self, name, route, prompt, now):
        times = self._times.get(name)
        if times is None:
            return None
        if not route.has_prompts:
            return times.whole_bound_s(now)
        if prompt is None:
            return None
        return times.stream_bound_s(prompt.tokens, prompt.max_output_tokens, now)

    def record(self, request, service, usage, first_at, now):
        """Records the end of a request that a server may have run.

        Args:
            request: The ``GatewayRequest``.
            service: The ``Service`` of that server.
            usage: The ``Usage``.
            first_at: Time of the first part of its answer in seconds; None without one.
            now: Present time in seconds.
        """
        times = self._times_of(service)
        if not request.route.has_prompts:
            times.record_whole(now - request.read_at, now)
            return
        prompt = request.prompt
        if prompt is None:
            return
        # A stream that never began has waited for at least so long.
        begun_at = now if first_at is None else first_at
        times.record_wait(begun_at - request.read_at, prompt.tokens, now)
        if usage.events:
            engine = service.engine
            times.record_stream(
                usage.events,
                now - begun_at,
                max_tokens=prompt.max_output_tokens,
                tokens_per_event=engine.tokens_per_event if engine else 1,
                now=now,
            )

    def _times_of(self, service):
        times = self._times.pop(service.name, None) or AnswerTimes(self._settings)
        # Keeps the services in the order of their latest answers.
        self._times[service.name] = times
        if len(self._times) > MAX_SERVICES:
            del self._times[next(iter(self._times))]
        return times
