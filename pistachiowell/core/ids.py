"""Unique ids and stable hashes."""

import uuid

import xxhash


def new_id(prefix):
    """Makes an id that no other process will make.

    Args:
        prefix: Short word that tells what the id names.

    Returns:
        The prefix, a hyphen and 32 hexadecimal digits.

    Examples:
        >>> new_id("grant").startswith("grant-")
        True
    """
    return f"{prefix}-{uuid.uuid4().hex}"


def stable_hash(*parts):
    """Hashes strings to 64 bits, alike in every process.

    Args:
        *parts: Strings; their boundaries count.

    Returns:
        An integer from 0 to 2**64 - 1.

    Examples:
        >>> stable_hash("a", "b") == stable_hash("ab")
        False
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())
