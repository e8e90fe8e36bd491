"""Text of a ``PlacementReport`` for operators."""

SERVER_HEADINGS = (
    "server",
    "data centre",
    "version",
    "chance",
    "load",
    "cost",
    "notes",
)
# Servers named in the first lines.
MAX_NAMED = 8


def report_text(report):
    """Returns a ``PlacementReport`` as lines of text.

    Args:
        report: The ``PlacementReport``.
    """
    lines = [*_outcome_lines(report), "", *_route_lines(report)]
    lines += [*_account_lines(report.account), *_overload_lines(report.overload)]
    for service in report.services:
        lines += ["", *_service_lines(service)]
    if report.notes:
        lines += ["", *(f"Note: {note}" for note in report.notes)]
    return "\n".join(lines)


def _outcome_lines(report):
    lines = []
    if report.overload.relayed_to:
        targets = _chances(report.overload.relayed_to)
        lines.append(f"A new connection would be relayed to {targets}.")
        lines.append("A request on an open connection is served here:")
    if report.outcome == "refused":
        lines.append("Would be refused now.")
    else:
        targets = _chances(report.chosen)
        lines.append(f"Would be sent now to {targets}. {report.reason}")
    for number, refusal in enumerate(report.refusals):
        word = "Also refused" if number else "Refused"
        if refusal.probability < 1:
            word += f" ({_percent(refusal.probability)})"
        lines.append(
            f"{word}: {refusal.status} {refusal.code}{_retry_after(refusal)}:"
            f" {refusal.reason}"
        )
    return lines


def _chances(odds):
    likeliest = sorted(odds.items(), key=lambda pair: -pair[1])
    names = [f"{name} ({_percent(p)})" for name, p in likeliest[:MAX_NAMED]]
    if len(likeliest) > MAX_NAMED:
        names.append(f"{len(likeliest) - MAX_NAMED} more")
    return ", ".join(names)


def _retry_after(refusal):
    least_s, most_s = refusal.retry_after_min_s, refusal.retry_after_max_s
    if not most_s:
        return ""
    text = f"{least_s:g}" if least_s == most_s else f"{least_s:g} to {most_s:g}"
    return f", Retry-After {text} s"


def _route_lines(report):
    route = report.route
    homes = ", ".join(route.home_regions or ()) or "none"
    home_text = "" if route.home_regions is None else f", home regions {homes}"
    services = ", ".join(
        f"{s.name} weight {s.weight:g} ({_percent(s.probability)} now)"
        for s in report.services
    )
    return [
        f"gateway   {report.gateway} in {report.data_centre}, configuration"
        f" {report.revision}",
        f"route     {route.name}: {route.host}{route.path_prefix}, {route.kind}, rank"
        f" {report.rank}, {report.left_s:g} s left, at most {route.max_attempts}"
        f" servers{home_text}",
        f"services  {services}",
    ]


def _account_lines(account):
    if account is None:
        return ["account   none"]
    if not account.has_budget:
        return [f"account   {account.name}, without a budget"]
    owners = ", ".join(account.owners)
    keeper = f"ask {owners}" if owners else "no agent is to be had"
    lines = [
        f"account   {account.name}: needs {account.needed_tokens} tokens of"
        f" {account.prepaid_tokens} prepaid; free tokens not known here ({keeper})"
    ]
    for grant in account.grants:
        what = "used under closed grant" if grant.is_closed else "open grant"
        lines.append(f"          {grant.tokens} {what} {grant.id} of {grant.holder}")
    return lines


def _overload_lines(overload):
    return [
        f"load      {_percent(overload.busy_share)} busy, room for"
        f" {overload.room_per_s:g} requests/s, others {overload.peer_room_per_s:g};"
        f" refuses {_percent(overload.refused_share)}, relays"
        f" {_percent(overload.relayed_share)} of the connections"
    ]


def _service_lines(service):
    lines = [f"Service {service.name}"]
    lines += [
        f"  version {v.name or '-'}: {v.servers} servers, {v.state},"
        f" {_percent(v.share)} of the attempts"
        for v in service.versions
    ]
    rows = [SERVER_HEADINGS, *map(_server_row, service.servers)]
    if len(rows) > 1:
        lines += _table(rows)
    if service.unlisted_servers:
        lines.append(f"  and {service.unlisted_servers} more servers")
    return lines


def _server_row(server):
    notes = [f"left out: {server.left_out}"] if server.left_out else []
    notes += [f"- {text}" for text in server.against]
    notes += [f"+ {text}" for text in server.in_favour]
    if server.admitted_by is not None:
        admitter = server.admitted_by or "turns by the clock"
        notes.append(f"to be admitted by {admitter}")
    return (
        server.id,
        server.data_centre,
        server.version or "-",
        _percent(server.probability),
        f"{server.load}/{server.slots}",
        "-" if server.cost_s is None else f"{server.cost_s * 1000:.1f} ms",
        "; ".join(notes),
    )


def _table(rows):
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  " + "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def _percent(share):
    return f"{100 * share:.3g} %"
