"""HTTP page with the metrics of a process."""

from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.web import http_server

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PATH = "/metrics"
MAX_HEADER_BYTES = 65_536


class MetricsPage:
    """ASGI application that serves the metrics as text.

    Args:
        metrics: The process's ``Metrics``.
    """

    __slots__ = ("_metrics",)

    def __init__(self, metrics):
        self._metrics = metrics

    async def __call__(self, scope, receive, send):
        """Responds with the metrics, or with 404 on any other path."""
        del receive
        if scope["type"] != "http":
            return
        found = scope["path"] == PATH
        body = self._metrics.text() if found else b"Use /metrics.\n"
        headers = [
            (b"content-type", CONTENT_TYPE if found else b"text/plain"),
            (b"content-length", b"%d" % len(body)),
        ]
        status = 200 if found else 404
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


async def serve_metrics(runtime):
    """Serves the metrics until cancelled; returns at once if no port is set.

    Args:
        runtime: The process's ``Runtime``; its settings have ``metrics_host`` and
            ``metrics_port``.
    """
    settings = runtime.settings
    if not settings.metrics_port:
        return
    page = MetricsPage(runtime.metrics)
    await http_server(
        page,
        settings.metrics_host,
        settings.metrics_port,
        http=bounded_protocol(MAX_HEADER_BYTES, b"{}", runtime.clients),
    ).serve()
