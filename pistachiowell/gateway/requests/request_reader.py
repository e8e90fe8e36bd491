"""Reads the requests of callers and refuses those that cannot be served."""

import anyio

from pistachiowell.core.errors import (
    NOT_RUN,
    BodyTimeout,
    BodyTooLarge,
    HeadersTooLarge,
    InvalidRequest,
    Leaving,
    NotFound,
    Overloaded,
    Unauthorized,
)
from pistachiowell.core.web import read_body
from pistachiowell.gateway.data import GatewayRequest, request_rank
from pistachiowell.gateway.load import overload_text
from pistachiowell.routing import fingerprint, part_names

NOT_READY_RETRY_AFTER_S = 0.5


class GatewayOverloaded(Overloaded):
    """This gateway is at its limit; another one may have room."""

    closes_connection = True


class RequestReader:
    """Checks the head of a request, then reads its body.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        stop: The ``PlannedStop``.
        load: The ``LoadSharing``.
    """

    __slots__ = ("_load", "_overload", "_runtime", "_state", "_stop")

    def __init__(self, runtime, state, stop, load):
        self._runtime = runtime
        self._state = state
        self._stop = stop
        self._load = load
        self._overload = load.overload

    async def read(self, scope, head, receive, received_at):
        """Returns the ``GatewayRequest`` that a caller sends.

        Args:
            scope: The ASGI scope.
            head: The ``RequestHead``.
            receive: The ASGI function.
            received_at: Time at which its head was read, in seconds.

        Raises:
            PistachiowellError: The request is refused.
        """
        catalog = self._catalog_in_force()
        route = self._find_route(catalog, scope, head)
        account = self._find_account(catalog, route, head)
        self._check_overload(scope, account, route, received_at)
        if not head.request_id:
            raise InvalidRequest("The request has no id.")
        limits = catalog.limits
        if head.body_bytes > limits.body_bytes:
            raise BodyTooLarge(f"The body exceeds {limits.body_bytes} bytes.")
        wait_s = route.timeout_s
        if head.wait_limit_s is not None:
            wait_s = min(wait_s, head.wait_limit_s)
        deadline = received_at + wait_s
        self._stop.check(route, head.prompt, deadline, received_at)
        body = await self._read_body(receive, limits.body_bytes, deadline)
        read_at = self._runtime.now()
        bound_s = self._stop.check_time(route, head.prompt, deadline, read_at)
        service = _find_service(catalog, route)
        name = account.name if account else ""
        parts = head.prompt.parts if head.prompt else ()
        return GatewayRequest(
            head,
            body,
            route,
            service,
            account,
            received_at,
            deadline=deadline,
            fingerprint=fingerprint(name, head.target.decode("latin-1"), body),
            part_names=part_names([part for part, _ in parts]),
            read_at=read_at,
            bound_s=bound_s,
        )

    def _catalog_in_force(self):
        catalog = self._state.catalog
        if catalog is None:
            raise Leaving(
                "The gateway has no configuration yet.",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        if not self._state.evacuations.is_known:
            raise Leaving(
                "The gateway does not know yet which data centres are evacuated.",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        return catalog

    def _find_route(self, catalog, scope, head):
        max_bytes = catalog.limits.header_bytes
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > max_bytes:
            raise HeadersTooLarge(f"The headers exceed {max_bytes} bytes.")
        route = catalog.find_route(head.host, head.path)
        if route is None:
            raise NotFound("No route matches this host and path.")
        return route

    async def _read_body(self, receive, max_bytes, deadline):
        left_s = max(0.0, deadline - self._runtime.now())
        with anyio.move_on_after(left_s) as scope, self._stop.tracked(scope):
            return await read_body(receive, max_bytes)
        if self._stop.has_ended:
            raise self._stop.error(may_have_run=False)
        raise BodyTimeout("The body did not arrive by the deadline of the request.")

    def _check_overload(self, scope, account, route, received_at):
        name = account.name if account else ""
        rank = request_rank(account, route)
        wait_s = self._overload.wait_s(name, received_at, rank)
        self._load.add_decision(scope, is_refused=wait_s > 0)
        if wait_s:
            raise GatewayOverloaded(
                overload_text(self._overload), ran=NOT_RUN, retry_after_s=wait_s
            )

    def _find_account(self, catalog, route, head):
        if catalog.accounts is None or route.is_public:
            return None
        account = catalog.accounts.get(head.api_key)
        if account is None:
            raise Unauthorized("The API key is not known.")
        return account


def _find_service(catalog, route):
    names = [name for name, weight in route.weights.items() if weight > 0]
    service = next(
        (catalog.services[name] for name in names if name in catalog.services), None
    )
    if service is None:
        raise Overloaded(f"Route {route.name} has no service.")
    return service
