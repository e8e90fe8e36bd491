"""Rules across rows that every accepted change satisfies."""

from pistachiowell.core.errors import RowInvalid

_CHECKS = []


def check(function):
    """Registers a check.

    A check is a function of the new and the old rows (mappings from ``RowKey`` to
    document) that yields sentences about what is wrong, each with a remedy.
    """
    _CHECKS.append(function)
    return function


def find_conflicts(new_rows, old_rows):
    """Lists what is wrong with a table.

    Args:
        new_rows: Rows after the change, by key.
        old_rows: Rows before the change, by key.

    Returns:
        A list of sentences; empty if the table is valid.
    """
    return [text for rule in _CHECKS for text in rule(new_rows, old_rows)]


def require_valid(new_rows, old_rows):
    """Raises if a change would leave the table invalid.

    Raises:
        RowInvalid: The message lists the conflicts.
    """
    conflicts = find_conflicts(new_rows, old_rows)
    if conflicts:
        raise RowInvalid(" ".join(conflicts))


def _of_kind(rows, kind):
    return [row for key, row in rows.items() if key.kind == kind]


def _has(rows, kind, name):
    return (kind, name) in rows


@check
def routes_name_versions(new_rows, old_rows):
    """Weights of a route name versions that exist."""
    del old_rows
    for row in _of_kind(new_rows, "route"):
        for version in row["weights"]:
            if not _has(new_rows, "version", version):
                yield (
                    f"Route {row['name']} names the unknown version {version}: "
                    "add the version row or drop the weight."
                )


@check
def routes_have_weight(new_rows, old_rows):
    """The weights of a route sum to more than zero."""
    del old_rows
    for row in _of_kind(new_rows, "route"):
        if not sum(row["weights"].values()) > 0:
            yield f"Route {row['name']} has no weight above zero: set one."


@check
def servers_name_versions(new_rows, old_rows):
    """A backend server runs a version that exists."""
    del old_rows
    for row in _of_kind(new_rows, "server"):
        if not _has(new_rows, "version", row["version"]):
            yield (
                f"Backend server {row['name']} names the unknown version "
                f"{row['version']}: add the version row."
            )


@check
def keys_are_unique(new_rows, old_rows):
    """An API key belongs to one client account."""
    del old_rows
    owners = {}
    for row in _of_kind(new_rows, "account"):
        for key_hash in row["key_hashes"]:
            owner = owners.setdefault(key_hash, row["name"])
            if owner != row["name"]:
                yield (
                    f"Client accounts {owner} and {row['name']} share an API key: "
                    "make a new key for one of them."
                )


@check
def moves_name_rows(new_rows, old_rows):
    """An open move names a route and two versions that exist."""
    del old_rows
    for row in _open_moves(new_rows):
        named = [("route", row["route"])]
        named += [("version", row["old"]), ("version", row["new"])]
        for kind, name in named:
            if not _has(new_rows, kind, name):
                yield (
                    f"Move {row['name']} names the unknown {kind} {name}: "
                    "correct the move or add the row."
                )
        if row["old"] == row["new"]:
            yield f"Move {row['name']} names one version twice: name a new one."


@check
def moves_are_alone(new_rows, old_rows):
    """A route has at most one open move."""
    del old_rows
    by_route = {}
    for row in _open_moves(new_rows):
        other = by_route.setdefault(row["route"], row["name"])
        if other != row["name"]:
            yield (
                f"Moves {other} and {row['name']} are both open on route "
                f"{row['route']}: abort one and wait for its end."
            )


@check
def moves_start_from_weights(new_rows, old_rows):
    """A move starts with weight on the old version and none on the new one."""
    for row in _open_moves(new_rows):
        route = new_rows.get(("route", row["route"]))
        if route is None or ("move", row["name"]) in old_rows:
            continue
        weights = route["weights"]
        if weights.get(row["old"], 0) <= 0 or weights.get(row["new"], 0) > 0:
            yield (
                f"Move {row['name']} needs weight on {row['old']} and none on "
                f"{row['new']} in route {row['route']}: correct the weights first."
            )


@check
def moving_routes_keep_weights(new_rows, old_rows):
    """The weights of a route stay as they are while a move on it is open."""
    for row in _open_moves(new_rows):
        key = ("route", row["route"])
        if ("move", row["name"]) not in old_rows or key not in new_rows:
            continue
        before = old_rows.get(key, {}).get("weights")
        if before is not None and before != new_rows[key]["weights"]:
            yield (
                f"Route {row['route']} is in the open move {row['name']}: run "
                f"'move abort {row['name']}' and wait before changing its weights."
            )


@check
def open_moves_stay(new_rows, old_rows):
    """An open move is aborted, never deleted or rewritten."""
    fixed = ("route", "old", "new")
    for row in _open_moves(old_rows):
        after = new_rows.get(("move", row["name"]))
        if after is None:
            yield (
                f"Move {row['name']} is open: run 'move abort {row['name']}' and "
                "delete it after its end."
            )
        elif any(row[field] != after[field] for field in fixed):
            yield f"Move {row['name']} is open: abort it and start another one."


@check
def ends_stay(new_rows, old_rows):
    """The end of a move is written once."""
    for row in _of_kind(old_rows, "move"):
        after = new_rows.get(("move", row["name"]))
        end = row.get("end", "")
        if after is not None and end and after.get("end", "") != end:
            yield (
                f"Move {row['name']} has ended as {end}: start a move with "
                "another name."
            )


def _open_moves(rows):
    return [row for row in _of_kind(rows, "move") if not row.get("end")]
