"""Counters, gauges and latency histograms; ``metrics_page`` serves them as text."""

import re

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

PREFIX = "pistachiowell"
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    15.0,
)

_SEPARATORS = re.compile(r"[^a-zA-Z0-9_]")


class Metrics:
    """Metrics of one process, readable as text and as a mapping of values.

    Names are words separated by dots. In the text form the words are separated by
    underscores, and the names begin with ``PREFIX``.

    Examples:
        >>> metrics = Metrics()
        >>> metrics.count("requests.answered")
        >>> metrics.values
        {'requests.answered': 1}
        >>> b"pistachiowell_requests_answered_total 1.0" in metrics.text()
        True
    """

    __slots__ = ("_collectors", "_read", "_registry", "_values")

    def __init__(self):
        self._registry = CollectorRegistry()
        self._collectors = {}
        self._values = {}
        self._read = {}

    @property
    def values(self):
        """Mapping of metric names to present values; counters count from the start."""
        return {**self._values, **{name: read() for name, read in self._read.items()}}

    def text(self):
        """Returns all metrics in the Prometheus text format as bytes."""
        return generate_latest(self._registry)

    def watch(self, name, read):
        """Registers a gauge whose function is called at each read of the values.

        Args:
            name: Name of the gauge.
            read: Function that returns the present value.
        """
        self._read[name] = read
        self._collector(Gauge, name).set_function(read)

    def count(self, name, amount=1):
        """Adds an amount to a counter."""
        self._values[name] = self._values.get(name, 0) + amount
        self._collector(Counter, name).inc(amount)

    def gauge(self, name, value):
        """Sets the value of a gauge."""
        self._values[name] = value
        self._collector(Gauge, name).set(value)

    def timing(self, name, duration_s):
        """Records a duration in a histogram.

        Args:
            name: Name of the histogram.
            duration_s: Duration in seconds.
        """
        self._collector(Histogram, name, buckets=LATENCY_BUCKETS_S).observe(duration_s)

    def _collector(self, cls, name, **options):
        collector = self._collectors.get(name)
        if collector is None:
            full_name = f"{PREFIX}_{_SEPARATORS.sub('_', name)}"
            help_text = f"See {name} in docs/METRICS.md."
            collector = cls(full_name, help_text, registry=self._registry, **options)
            self._collectors[name] = collector
        return collector
