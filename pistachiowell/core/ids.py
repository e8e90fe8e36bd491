"""Unique ids and stable hashes."""

import uuid

import xxhash


def new_id(prefix):
    """Returns a new id that is unique among all processes.

    Args:
        prefix: Short word for the kind of object that the id names.

    Returns:
        The prefix, a hyphen and 32 hexadecimal digits.

    Examples:
        >>> new_id("grant").startswith("grant-")
        True
    """
    return f"{prefix}-{uuid.uuid4().hex}"


def stable_hash(*parts):
    """Returns a 64-bit hash of strings that is the same in every process.

    Args:
        *parts: Strings; their boundaries affect the hash.

    Returns:
        An integer from 0 to 2**64 - 1.

    Examples:
        >>> stable_hash("a", "b") == stable_hash("ab")
        False
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())
