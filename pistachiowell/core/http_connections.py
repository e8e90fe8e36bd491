"""Connections to HTTP servers that bear nothing but answers.

A faulty server may send more bytes than its answer. A parser that has read them
together with it takes them for the answer to the next request on the connection.
"""

import httpcore


def has_extra_bytes(connection):
    """Returns whether bytes were read that are not of the answer before them.

    Bytes that arrive later make an idle connection readable, which httpcore checks.

    Args:
        connection: An idle ``httpcore.AsyncHTTP11Connection``.
    """
    # httpcore has no public view of what its parser holds.
    data, _ = connection._h11_state.trailing_data
    return bool(data)


class _Connection(httpcore.AsyncHTTPConnection):
    """Connection that expires with bytes that belong to no request."""

    def has_expired(self):
        """Returns whether it must not be used again."""
        if super().has_expired():
            return True
        return (
            self._connection is not None
            and self._connection.is_idle()
            and has_extra_bytes(self._connection)
        )


class SingleAnswerPool(httpcore.AsyncConnectionPool):
    """Pool of connections that closes those with more bytes than their answers.

    Args:
        keepalive_expiry: Seconds for which an idle connection is kept; None without a
            limit.
        socket_options: Options of each socket; None for none.
        **settings: Further settings of ``httpcore.AsyncConnectionPool``.
    """

    def __init__(self, *, keepalive_expiry=None, socket_options=None, **settings):
        super().__init__(
            keepalive_expiry=keepalive_expiry, socket_options=socket_options, **settings
        )
        self._connection_settings = {
            "keepalive_expiry": keepalive_expiry,
            "socket_options": socket_options,
        }

    def create_connection(self, origin):
        """Returns a new connection; see ``httpcore.AsyncConnectionPool``."""
        return _Connection(origin, **self._connection_settings)
