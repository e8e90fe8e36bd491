"""Digests of idempotency keys, their buckets and the agents that prefer them."""

import base64
import hashlib

from pistachiowell.core.ids import stable_hash

_DIGEST_BYTES = 16


def key_digest(account, route, key):
    """Names a key of one account on one route.

    Args:
        account: Name of the client account.
        route: Name of the route.
        key: Idempotency key of the caller.

    Returns:
        22 characters; different keys never share them in practice, even if the
        caller chooses them to.

    Examples:
        >>> key_digest("a", "b", "c") == key_digest("a", "bc", "")
        False
    """
    return _digest(account.encode(), route.encode(), key.encode())


def body_digest(method, path, body):
    """Tells whether two requests with the same key are the same request.

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
    """Finds the bucket of a key.

    Args:
        digest: Result of ``key_digest``.
        buckets: Number of buckets.
    """
    return stable_hash("claim-bucket", digest) % buckets


def preferred_agents(bucket, agents):
    """Orders agents by their preference for a bucket.

    All routers find the same order, so that one agent writes a bucket's pages and
    keeps its answers. Safety does not depend on it.

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
