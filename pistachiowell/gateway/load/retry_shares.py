"""This gateway's shares of the retry budgets of the services."""

from pistachiowell.routing import RetryShare, RetryShareSettings, RouterCount


class RetryShares:
    """Creates a ``RetryShare`` for each service at its first request.

    Args:
        runtime: The process's ``Runtime``, which has just started.
    """

    __slots__ = ("_count", "_may_follow", "_now", "_settings", "_shares", "_started_at")

    def __init__(self, runtime):
        settings = runtime.settings
        self._settings = RetryShareSettings(
            settings.retry_ratio, settings.retry_fixed, settings.retry_window_s
        )
        self._count = RouterCount(self._settings)
        self._now = runtime.now
        self._started_at = runtime.now()
        self._may_follow = True
        self._shares = {}

    @property
    def routers(self):
        """Number of gateways that share the fixed retries; see ``RouterCount``."""
        return self._count.largest(self._now())

    def record_gateways(self, count):
        """Records how many gateways may be running; they are registered as routers."""
        self._count.record(count, self._now())

    def record_registration(self, may_follow):
        """Records whether this gateway may follow an earlier run of its own."""
        self._may_follow = may_follow

    def of(self, service):
        """Returns the ``RetryShare`` of a service."""
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = RetryShare(
                self._settings,
                lambda: self.routers,
                self._started_at,
                lambda: self._may_follow,
            )
        return share
