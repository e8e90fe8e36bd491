"""HTTP page with the metrics of a process."""

from dataclasses import dataclass

from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.web import http_server

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PATH = "/metrics"
MAX_HEADER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class PageAnswer:
    """Answer of one page.

    Attributes:
        body: The body.
        status: HTTP status.
        content_type: Value of the header ``Content-Type``.
        headers: Further headers as pairs of bytes.
    """

    body: bytes
    status: int = 200
    content_type: bytes = b"text/plain"
    headers: tuple = ()


class MetricsPage:
    """ASGI application that serves the metrics as text, and other pages of operators.

    Args:
        metrics: The process's ``Metrics``.
        pages: Further pages: function of the query string by path, which returns a
            ``PageAnswer``.
    """

    __slots__ = ("_metrics", "_pages")

    def __init__(self, metrics, pages=None):
        self._metrics = metrics
        self._pages = {PATH: self._text, **(pages or {})}

    async def __call__(self, scope, receive, send):
        """Responds with the page of the path, or with 404 if there is none."""
        del receive
        if scope["type"] != "http":
            return
        page = self._pages.get(scope["path"])
        if page is None:
            answer = PageAnswer(f"Use {', '.join(self._pages)}.\n".encode(), 404)
        else:
            answer = page(scope["query_string"])
        headers = [
            (b"content-type", answer.content_type),
            (b"content-length", b"%d" % len(answer.body)),
            *answer.headers,
        ]
        start = {"type": "http.response.start", "status": answer.status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": answer.body})

    def _text(self, query):
        del query
        return PageAnswer(self._metrics.text(), content_type=CONTENT_TYPE)


async def serve_metrics(runtime, pages=None):
    """Serves the metrics until cancelled; returns at once if no port is set.

    Args:
        runtime: The process's ``Runtime``; its settings have ``metrics_host`` and
            ``metrics_port``.
        pages: Further pages; see ``MetricsPage``.
    """
    settings = runtime.settings
    if not settings.metrics_port:
        return
    page = MetricsPage(runtime.metrics, pages)
    await http_server(
        page,
        settings.metrics_host,
        settings.metrics_port,
        http=bounded_protocol(MAX_HEADER_BYTES, b"{}", runtime.clients),
    ).serve()
