"""Digests of idempotency keys, their buckets, and the preferred agents of a bucket."""

import base64
import hashlib

from pistachiowell.core.ids import stable_hash

_DIGEST_BYTES = 16


def key_digest(account, route, key):
    """Returns the digest of an idempotency key of one account on one route.

    Args:
        account: Name of the client account.
        route: Name of the route.
        key: Idempotency key of the caller.

    Returns:
        22 characters. Different keys do not collide in practice, even if a caller
        chooses them on purpose; a collision would refuse a request that never ran.

    Examples:
        >>> key_digest("a", "b", "c") == key_digest("a", "bc", "")
        False
    """
    return _digest(account.encode(), route.encode(), key.encode())


def body_digest(method, path, body):
    """Returns a digest by which repeats of a request are recognized.

    Requests with the same key but another digest are different requests.

    Args:
        method: HTTP method.
        path: Path at the backend server.
        body: Body as bytes.
    """
    return _digest(method.encode(), path.encode(), body)


def _digest(*parts):
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return base64.urlsafe_b64encode(digest.digest()).rstrip(b"=").decode()


def bucket_of(digest, buckets):
    """Returns the number of the bucket of a key.

    Args:
        digest: Result of ``key_digest``.
        buckets: Number of buckets.
    """
    return stable_hash("claim-bucket", digest) % buckets


def preferred_agents(bucket, agents):
    """Ranks the agents of a bucket by rendezvous hash.

    All routers compute the same order, so that one agent writes a bucket's pages and
    keeps its answers for repeats. That avoids conflicts of writes; safety does not
    depend on it.

    Args:
        bucket: Number of the bucket.
        agents: Names of agents.

    Returns:
        A list, most preferred first.

    Examples:
        >>> order = preferred_agents(3, ["a", "b", "c"])
        >>> order == preferred_agents(3, ["c", "a", "b"])
        True
        >>> [name for name in order if name != "b"] == preferred_agents(3, ["a", "c"])
        True
    """
    return sorted(
        agents,
        key=lambda agent: (stable_hash("claim-agent", str(bucket), agent), agent),
    )
