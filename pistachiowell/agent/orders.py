"""Orders to the engine, passed on after a check of their fencing numbers."""

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

MOVES_COLLECTION = "moves"

_log = part_logger("orders")


class EngineOrderHandler:
    """Handles ``EngineOrder`` messages.

    Each controller of a move has a larger fencing number than its predecessor. An order
    of a controller that was paused can arrive after the orders of its successor, and an
    engine that ignores fencing numbers would carry it out. The agent therefore compares
    the number of each order with the move's state in the store, and refuses the order
    if the store cannot be read.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.
        backend: The ``Backend``.
    """

    __slots__ = ("_backend", "_fencing_checker", "_runtime")

    def __init__(self, runtime, handlers, backend):
        self._runtime = runtime
        self._backend = backend
        self._fencing_checker = FencingChecker()
        handlers.on(EngineOrder)(self._handle_order)

    async def _handle_order(self, link, order):
        del link
        try:
            stored_fence = await self._stored_fence(order.move)
        except STORE_ERRORS as error:
            return self._refuse(order, 0, f"The fence is unknown: {error.message}")
        decision = self._fencing_checker.check(order.move, order.fence, stored_fence)
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
            EventKind.order_accepted, move=order.move, text=_describe(order)
        )
        return EngineOrderReport(accepted=True, fence=decision.fence)

    async def _stored_fence(self, move):
        entry = await self._runtime.store.get(MOVES_COLLECTION, move)
        if entry is None:
            return 0
        return msgspec.json.decode(entry.value, type=MoveState).fence

    def _refuse(self, order, fence, reason):
        _log.warning("Refused engine order {}: {}", _describe(order), reason)
        self._runtime.events.add(
            EventKind.order_refused,
            move=order.move,
            text=f"{_describe(order)}: {reason}",
        )
        return EngineOrderReport(accepted=False, fence=fence, message=reason)


def _describe(order):
    return f"{order.action} {order.version} fence {order.fence}"
