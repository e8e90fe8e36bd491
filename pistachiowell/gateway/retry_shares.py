"""This gateway's shares of the retry budgets of the services."""

from pistachiowell.routing import RetryShare, RetryShareSettings


class RetryShares:
    """Creates a ``RetryShare`` for each service at its first request.

    Args:
        settings: ``GatewaySettings``.
        gateway_count: Function that returns the number of gateways that may be running;
            they are registered as routers.
        started_at: Time at which this process started in seconds.
    """

    __slots__ = ("_gateway_count", "_may_follow", "_settings", "_shares", "_started_at")

    def __init__(self, settings, gateway_count, started_at):
        self._settings = RetryShareSettings(
            settings.retry_ratio, settings.retry_fixed, settings.retry_window_s
        )
        self._gateway_count = gateway_count
        self._started_at = started_at
        self._may_follow = True
        self._shares = {}

    @property
    def routers(self):
        """Number of gateways that may be running."""
        return self._gateway_count()

    def record_registration(self, may_follow):
        """Records whether an earlier run of this gateway may have been killed."""
        self._may_follow = may_follow

    def of(self, service):
        """Returns the ``RetryShare`` of a service."""
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = RetryShare(
                self._settings,
                self._gateway_count,
                self._started_at,
                lambda: self._may_follow,
            )
        return share
