"""HTTP protocol class for uvicorn whose closes cost callers no answer."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pistachiowell.core.close_log import Close
from pistachiowell.core.connection_order import Stage
from pistachiowell.core.keep_alive import KEEP_ALIVE, KeepAlivePromise
from pistachiowell.core.lingering import LingeringTransport
from pistachiowell.core.socket_state import read_arrived, unread_bytes

READ_BYTES = 65_536
# At a planned stop a connection is closed if nothing has happened on it for so long.
QUIET_S = 0.5


class ClosingProtocol(HttpToolsProtocol):
    """Reads once more before a close, and records what a caller loses by it.

    Args:
        close_log: The ``CloseLog``.
        *args: Arguments of uvicorn's protocol.
        **kwargs: Arguments of uvicorn's protocol.
    """

    def __init__(self, close_log, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._close_log = close_log
        self._close_reason = "application"
        self._has_crossed = False
        self._has_request_ahead = False
        self._is_in_head = True
        self._is_in_message = False
        self._is_last = False
        self._is_refused = False
        self._lingering = None
        self._promise = KeepAlivePromise()
        self._opened_at = self._active_at = self.loop.time()

    def connection_made(self, transport):
        """Closes the connection in stages from now on."""
        super().connection_made(transport)
        self._lingering = LingeringTransport(
            transport, self._expects_more, self._record_close
        )
        self.transport = self._lingering

    def connection_lost(self, exc):
        """Ends the wait for the caller."""
        super().connection_lost(exc)
        if self._lingering is not None:
            self._lingering.release()

    def on_headers_complete(self):
        """Tells the caller whether its connection is kept."""
        super().on_headers_complete()
        if self._is_last:
            self.cycle.keep_alive = False
        if self.cycle.keep_alive:
            self.scope[KEEP_ALIVE] = self._promise

    def on_response_complete(self):
        """Records the end of an answer, from which the idle time is counted."""
        self._active_at = self.loop.time()
        super().on_response_complete()

    def record_crossed(self):
        """Records that a request has come after the close."""
        if not self._has_crossed:
            self._has_crossed = True
            self._close_log.record_crossed(self._close_reason)

    @property
    def owes_answer(self):
        """Whether an answer could be lost if the process ended now."""
        transport = self.transport
        return (
            self._is_answering
            or transport.get_write_buffer_size() > 0
            or (transport.is_lingering and transport.unsent_bytes > 0)
        )

    @property
    def is_kept(self):
        """Whether the caller may send on, as an answer has told it."""
        return (
            self._promise.kept_s > 0
            and not self.transport.is_closing()
            and self._quiet_left_s() > 0
        )

    def _expects_more(self):
        return self._is_in_message or self._has_request_ahead

    @property
    def _is_answering(self):
        return self.cycle is not None and not self.cycle.response_complete

    def _stage(self):
        if self.flow.write_paused:
            return Stage.stalled
        if self._is_answering:
            return Stage.body if self.cycle.more_body else Stage.serving
        if self._is_in_message:
            return Stage.head if self._is_in_head else Stage.leftover
        return Stage.silent if self.cycle is None else Stage.idle

    def _refuse(self, answer):
        self._is_refused = True
        self.transport.write(answer)

    def _record_close(self, unread_bytes, is_dropping):
        """Records what the caller loses as this process closes the connection."""
        has_unsent = is_dropping and self.transport.get_write_buffer_size() > 0
        if has_unsent or (self._has_unanswered and not self._is_refused):
            self._close_log.record_unanswered(self._close(unread_bytes))
        elif unread_bytes and self._is_unread_lost:
            self._close_log.record_unread(self._close(unread_bytes))

    def _close(self, unread_bytes):
        now = self.loop.time()
        return Close(
            self._close_reason,
            self._stage(),
            unread_bytes,
            now - self._opened_at,
            now - self._active_at,
        )

    @property
    def _is_unread_lost(self):
        """Whether a request was not read, of whose close no answer has told."""
        return not (
            self._is_refused
            or self._is_in_message
            or self._close_reason == "application"
        )

    @property
    def _has_unanswered(self):
        return self._is_answering or (self._is_in_message and self._is_in_head)

    def shutdown(self):
        """Closes the connection once its last answer has told of it, or when quiet.

        The caller of a connection that was new or in use a moment ago may be about
        to send, so what comes soon is still answered.
        """
        self._is_last = True
        self.timeout_keep_alive = QUIET_S
        if not self._is_answering:
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_handler()
        elif not self.cycle.response_started:
            self.cycle.keep_alive = False
            self.scope.pop(KEEP_ALIVE, None)

    def timeout_keep_alive_handler(self):
        """Closes the connection at the end of its idle time, or when quiet."""
        left_s = self._quiet_left_s()
        if left_s > 0 and not self.transport.is_closing():
            self.timeout_keep_alive_task = self.loop.call_later(
                left_s, self.timeout_keep_alive_handler
            )
        else:
            self._close_idle("stop" if self._is_last else "idle")

    def set_idle_timeout(self, limit_s):
        """Applies another idle time in seconds, unless the process stops."""
        if self._is_last:
            return
        self.timeout_keep_alive = limit_s
        if self.timeout_keep_alive_task is not None:
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                limit_s, self.timeout_keep_alive_handler
            )

    def _quiet_left_s(self):
        """Returns for how long the caller may be about to send, in seconds."""
        kept_s = self._promise.kept_s
        quiet_s = max(QUIET_S, kept_s) if self._is_last else kept_s
        return self._active_at + quiet_s - self.loop.time()

    def is_overdue(self, stage):
        """Reads what has arrived, and returns whether the stage is the same.

        A connection that is kept for longer, as its caller was told, is not.
        """
        if stage is Stage.idle and self._quiet_left_s() > 0:
            return False
        return not self._read_arrived() or self._stage() is stage

    def _close_idle(self, reason):
        """Closes the connection unless a request has arrived, which is answered."""
        self._read_arrived()
        if self.transport.is_closing() or self._has_unanswered:
            return
        self._close_reason = reason
        if self._is_in_message:
            self.transport.close()
        else:
            self.transport.close_idle()

    def _read_arrived(self):
        """Reads what has arrived by now; returns whether anything has."""
        if self.flow.read_paused or self.transport.is_closing():
            return False
        data = read_arrived(self._socket, READ_BYTES)
        if data:
            self.data_received(data)
        return bool(data)

    @property
    def _unread_bytes(self):
        return unread_bytes(self._socket)

    @property
    def _socket(self):
        return self.transport.get_extra_info("socket")
