"""What may have caused the crash of a backend server.

A whole request may crash each server that runs it, or one part of prompts may crash
each server that begins to answer on it, whatever else the requests hold. Both kinds of
suspects have names that are the same on every router.
"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from pistachiowell.routing.pick import rendezvous

FINGERPRINT_DIGITS = 32
PART_PREFIX = "part-"
# Further parts of a prompt are not tracked.
MAX_TRACKED_PARTS = 16


class SuspectKind(StrEnum):
    """Kind of a suspect."""

    request = "request"
    part = "part"


class FingerprintStatus(StrEnum):
    """Crash status of a suspect."""

    clear = "clear"
    crash_candidate = "suspect"
    held = "held"
    quarantined = "quarantined"


@dataclass(frozen=True, slots=True)
class PartInProgress:
    """A part of prompts of requests that were in progress at a crash.

    Attributes:
        name: Name of the part as a suspect.
        begun: Fingerprints of the requests with it that the server had begun to answer.
        waiting: Fingerprints of the other requests with it, which prove less.
    """

    name: str
    begun: tuple[str, ...]
    waiting: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Crash:
    """A report of the crash of one backend server.

    Attributes:
        crash_id: Unique id of the report of the crash.
        server: Name of the server.
        fingerprints: Fingerprints of the requests in progress at the crash.
        age_s: Seconds since the crash.
        parts: A ``PartInProgress`` for each part of their prompts.
    """

    crash_id: str
    server: str
    fingerprints: tuple[str, ...]
    age_s: float = 0.0
    parts: tuple[PartInProgress, ...] = ()


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A suspect that is refused because it crashes servers.

    Attributes:
        fingerprint: Name of the suspect.
        servers: Servers that it crashed.
        left_s: Seconds until the quarantine ends.
    """

    fingerprint: str
    servers: tuple[str, ...]
    left_s: float


def fingerprint(account, target, body):
    """Returns a hash that is the same each time a caller sends the same request.

    Args:
        account: Name of the client account; empty for a public route.
        target: What the request is sent to, such as its path and query.
        body: Request body in bytes.

    Examples:
        >>> fingerprint("acme", "/a", b"x") == fingerprint("acme", "/b", b"x")
        False
    """
    data = f"{account}\0{target}\0".encode() + body
    return hashlib.sha256(data).hexdigest()[:FINGERPRINT_DIGITS]


def part_names(part_ids):
    """Returns the names as suspects of the parts of a prompt.

    The last part belongs to the request alone, so the fingerprint stands for it.

    Args:
        part_ids: Ids of all parts, in the order of the prompt.

    Examples:
        >>> [name[:7] for name in part_names(["5c1e", "91bd", "e440"])]
        ['part-6f', 'part-f1']
    """
    return tuple(
        PART_PREFIX + hashlib.sha256(part_id.encode()).hexdigest()[:FINGERPRINT_DIGITS]
        for part_id in part_ids[:-1][:MAX_TRACKED_PARTS]
    )


def suspect_kind(name):
    """Returns the ``SuspectKind`` of the suspect with a name.

    Examples:
        >>> str(suspect_kind("0f3a"))
        'request'
    """
    is_part = name.startswith(PART_PREFIX)
    return SuspectKind.part if is_part else SuspectKind.request


def place_crash_candidate(candidates, fingerprint, crashed_servers):
    """Returns the server for a crash candidate, the same one on every router.

    Routers learn of a crash at different times. If each chose its own server, copies of
    one request could crash a server each before the crash report reaches every router.

    Args:
        candidates: A non-empty list of ``Candidate``.
        fingerprint: Fingerprint of the request.
        crashed_servers: Names of the servers that crashed while it ran; used only if
            no other candidate is left.
    """
    uncrashed = [c for c in candidates if c.server not in crashed_servers]
    return rendezvous(uncrashed or candidates, fingerprint)
