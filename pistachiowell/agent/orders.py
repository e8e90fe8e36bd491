"""Passes orders to the engine, after checking their fencing numbers."""

import msgspec

from pistachiowell.core.errors import STORE_ERRORS, PistachiowellError
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.moves import FencingChecker
from pistachiowell.schema.generated.messages_moves import (
    EngineOrder,
    EngineOrderReport,
)
from pistachiowell.schema.generated.objects_moves import MoveState

MOVES = "moves"

_log = part_logger("orders")


class Orders:
    """Takes ``EngineOrder`` messages.

    The engine may ignore fencing numbers, so the agent compares each order with the
    move's state in the store. Without the store it refuses.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.
        backend: The ``Backend``.
    """

    __slots__ = ("_backend", "_gate", "_runtime")

    def __init__(self, runtime, handlers, backend):
        self._runtime = runtime
        self._backend = backend
        self._gate = FencingChecker()
        handlers.on(EngineOrder)(self._take)

    async def _take(self, link, order):
        del link
        try:
            stored_fence = await self._stored_fence(order.move)
        except STORE_ERRORS as error:
            return self._refuse(order, 0, f"The fence is unknown: {error.message}")
        decision = self._gate.check(order.move, order.fence, stored_fence)
        if not decision.accepted:
            return self._refuse(order, decision.fence, decision.reason)
        try:
            accepted = await self._backend.order(
                order.action, order.version, order.fence
            )
        except PistachiowellError as error:
            return self._refuse(order, decision.fence, error.message)
        if not accepted:
            return self._refuse(order, decision.fence, "The engine refused it.")
        self._runtime.events.add(
            EventKind.order_accepted, move=order.move, text=_text(order)
        )
        return EngineOrderReport(accepted=True, fence=decision.fence)

    async def _stored_fence(self, move):
        entry = await self._runtime.store.get(MOVES, move)
        if entry is None:
            return 0
        return msgspec.json.decode(entry.value, type=MoveState).fence

    def _refuse(self, order, fence, reason):
        _log.warning("Refused order {}: {}", _text(order), reason)
        self._runtime.events.add(
            EventKind.order_refused,
            move=order.move,
            text=f"{_text(order)}: {reason}",
        )
        return EngineOrderReport(accepted=False, fence=fence, message=reason)


def _text(order):
    return f"{order.action} {order.version} fence {order.fence}"
