"""The request that a question of where it would go stands for."""

from pistachiowell.core.errors import InvalidRequest, NotFound
from pistachiowell.gateway.data import GatewayRequest, Prompt, RequestHead
from pistachiowell.routing import fingerprint, part_names

# Id of a request whose question gives none.
PLACEHOLDER_ID = "where"


def find_route(catalog, question):
    """Returns the ``Route`` that a question means.

    Args:
        catalog: The ``Catalog``.
        question: The ``WhereQuestion``.

    Raises:
        NotFound: There is none.
        InvalidRequest: The path or the name belongs to several hosts.
    """
    routes = [route for host in catalog.routes.values() for route in host]
    if question.route:
        found = [route for route in routes if route.name == question.route]
        what = f"route {question.route!r}"
    else:
        path = question.path.partition("?")[0]
        hosts = [question.host] if question.host else list(catalog.routes)
        found = [catalog.find_route(host, path) for host in hosts]
        found = [route for route in found if route is not None]
        what = f"route for path {path!r}"
        what += f" of host {question.host!r}" if question.host else ""
    if not found:
        raise NotFound(f"The gateway has no {what}.")
    if len(found) > 1:
        names = ", ".join(route.host for route in found[:8])
        raise InvalidRequest(f"Several hosts have a {what}: {names}. Give the host.")
    return found[0]


def find_account(catalog, route, question):
    """Returns the ``Account`` that a question names; None if it does not matter.

    Args:
        catalog: The ``Catalog``.
        route: The ``Route``; on a public one no account matters.
        question: The ``WhereQuestion``.

    Raises:
        NotFound: The account is not known.
    """
    if not question.account:
        return None
    accounts = (catalog.accounts or {}).values()
    found = next((a for a in accounts if a.name == question.account), None)
    if found is None:
        raise NotFound(f"The gateway knows no account {question.account!r}.")
    return None if route.is_public else found


def make_request(catalog, route, account, question, now):
    """Returns the ``GatewayRequest`` that a question describes, with an empty body.

    Args:
        catalog: The ``Catalog``.
        route: The ``Route``.
        account: The ``Account``, or None.
        question: The ``WhereQuestion``.
        now: Present time in seconds.
    """
    target = question.path or route.path_prefix
    prompt = None
    if question.prompt_tokens is not None:
        prompt = Prompt(question.prompt_tokens, question.output_tokens, question.parts)
    head = RequestHead(
        request_id=question.key or PLACEHOLDER_ID,
        method=question.method,
        target=target.encode(),
        host=route.host,
        path=target.partition("?")[0],
        api_key="",
        wait_limit_s=question.deadline_s,
        prompt=prompt,
        last_event_id="",
        body_bytes=0,
        headers=[],
    )
    wait_s = route.timeout_s
    if question.deadline_s is not None:
        wait_s = min(wait_s, question.deadline_s)
    names = [name for name, weight in route.weights.items() if weight > 0]
    services = [catalog.services[name] for name in names if name in catalog.services]
    name = account.name if account is not None else ""
    return GatewayRequest(
        head,
        b"",
        route,
        services[0] if services else None,
        account,
        now,
        deadline=now + wait_s,
        fingerprint=question.fingerprint or fingerprint(name, target, b""),
        part_names=part_names([part for part, _ in question.parts]),
    )
