"""Consistency checks across rows, which every accepted change passes."""

from pistachiowell.core.errors import RowInvalid

_CHECKS = []


def register_check(function):
    """Registers a function as a check.

    A check is called with the new and the old rows (mappings from ``RowKey`` to
    document) and yields sentences about what is wrong, each with a remedy.
    """
    _CHECKS.append(function)
    return function


def find_conflicts(new_rows, old_rows):
    """Runs all checks and lists what is wrong with a table.

    Args:
        new_rows: Rows after the change, by key.
        old_rows: Rows before the change, by key.

    Returns:
        A list of sentences; empty if the table is valid.
    """
    return [text for rule in _CHECKS for text in rule(new_rows, old_rows)]


def require_valid(new_rows, old_rows):
    """Raises an error if a change would make the table invalid.

    Args:
        new_rows: Rows after the change, by key.
        old_rows: Rows before the change, by key.

    Raises:
        RowInvalid: The message lists the conflicts.
    """
    conflicts = find_conflicts(new_rows, old_rows)
    if conflicts:
        raise RowInvalid(" ".join(conflicts))


def _rows_of_kind(rows, kind):
    return [row for key, row in rows.items() if key.kind == kind]


def _row_exists(rows, kind, name):
    return (kind, name) in rows


@register_check
def routes_refer_to_versions(new_rows, old_rows):
    """Checks that the weights of a route refer to existing versions."""
    del old_rows
    for row in _rows_of_kind(new_rows, "route"):
        for version in row["weights"]:
            if not _row_exists(new_rows, "version", version):
                yield (
                    f"Route {row['name']} names the unknown version {version}: "
                    "add the version row or drop the weight."
                )


@register_check
def routes_have_weight(new_rows, old_rows):
    """Checks that the weights of a route sum to more than zero."""
    del old_rows
    for row in _rows_of_kind(new_rows, "route"):
        if not sum(row["weights"].values()) > 0:
            yield f"Route {row['name']} has no weight above zero: set one."


@register_check
def servers_refer_to_versions(new_rows, old_rows):
    """Checks that a backend server runs an existing version."""
    del old_rows
    for row in _rows_of_kind(new_rows, "server"):
        if not _row_exists(new_rows, "version", row["version"]):
            yield (
                f"Backend server {row['name']} names the unknown version "
                f"{row['version']}: add the version row."
            )


@register_check
def keys_are_unique(new_rows, old_rows):
    """Checks that an API key belongs to one client account."""
    del old_rows
    owners = {}
    for row in _rows_of_kind(new_rows, "account"):
        for key_hash in row["key_hashes"]:
            owner = owners.setdefault(key_hash, row["name"])
            if owner != row["name"]:
                yield (
                    f"Client accounts {owner} and {row['name']} share an API key: "
                    "make a new key for one of them."
                )


@register_check
def moves_refer_to_rows(new_rows, old_rows):
    """Checks that an open move refers to a route and two versions that exist."""
    del old_rows
    for row in _open_moves(new_rows):
        named = [("route", row["route"])]
        named += [("version", row["old"]), ("version", row["new"])]
        for kind, name in named:
            if not _row_exists(new_rows, kind, name):
                yield (
                    f"Move {row['name']} names the unknown {kind} {name}: "
                    "correct the move or add the row."
                )
        if row["old"] == row["new"]:
            yield f"Move {row['name']} names one version twice: name a new one."


@register_check
def routes_have_one_open_move(new_rows, old_rows):
    """Checks that a route has at most one open move."""
    del old_rows
    by_route = {}
    for row in _open_moves(new_rows):
        other = by_route.setdefault(row["route"], row["name"])
        if other != row["name"]:
            yield (
                f"Moves {other} and {row['name']} are both open on route "
                f"{row['route']}: abort one and wait for its end."
            )


@register_check
def moves_start_from_weights(new_rows, old_rows):
    """Checks that a new move has weight on the old version and none on the new."""
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


@register_check
def moving_routes_keep_weights(new_rows, old_rows):
    """Checks that the weights of a route do not change while its move is open."""
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


@register_check
def open_moves_are_unchanged(new_rows, old_rows):
    """Checks that an open move is neither deleted nor rewritten; it may be aborted."""
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


@register_check
def ends_are_unchanged(new_rows, old_rows):
    """Checks that the end of a move does not change once it is written."""
    for row in _rows_of_kind(old_rows, "move"):
        after = new_rows.get(("move", row["name"]))
        end = row.get("end", "")
        if after is not None and end and after.get("end", "") != end:
            yield (
                f"Move {row['name']} has ended as {end}: start a move with "
                "another name."
            )


def _open_moves(rows):
    return [row for row in _rows_of_kind(rows, "move") if not row.get("end")]
