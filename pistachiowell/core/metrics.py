"""Metrics by statsd over UDP."""

import statsd

PREFIX = "pistachiowell"


class Metrics:
    """Sends counters, gauges and timings and keeps the latest values.

    The values kept answer ``/status`` and the status message.

    Args:
        settings: Settings with ``id``, ``statsd_host`` and ``statsd_port``.
    """

    __slots__ = ("_client", "_read", "_values")

    def __init__(self, settings):
        self._client = statsd.StatsClient(
            settings.statsd_host,
            settings.statsd_port,
            prefix=f"{PREFIX}.{settings.id}",
        )
        self._values = {}
        self._read = {}

    @property
    def values(self):
        """Latest value by metric name; counters count from the start."""
        return {**self._values, **{name: read() for name, read in self._read.items()}}

    def watch(self, name, read):
        """Registers a gauge that is read whenever the values are asked for.

        Args:
            name: Name of the gauge.
            read: Function that returns the present value.
        """
        self._read[name] = read

    def send_watched(self):
        """Sends the gauges that ``watch`` registered."""
        for name, read in self._read.items():
            self._client.gauge(name, read())

    def count(self, name, amount=1):
        """Adds to a counter."""
        self._values[name] = self._values.get(name, 0) + amount
        self._client.incr(name, amount)

    def gauge(self, name, value):
        """Sets a gauge."""
        self._values[name] = value
        self._client.gauge(name, value)

    def timing(self, name, duration_s):
        """Records a duration.

        Args:
            name: Name of the timer.
            duration_s: Duration in seconds.
        """
        self._client.timing(name, duration_s * 1000.0)
