"""Decoding of documents that others have written."""

import msgspec

from pistachiowell.core.logs import part_logger

# A document may be nested more deeply than a decoder can follow.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

_log = part_logger("store")


def decode_entries(entries, cls):
    """Yields ``(entry, decoded)`` of the entries that can be decoded.

    An entry that cannot be decoded is of another writer; it must not keep the others
    from being read.

    Args:
        entries: Objects with ``name`` and ``value``, JSON as bytes.
        cls: Class of the content.
    """
    for entry in entries:
        try:
            yield entry, msgspec.json.decode(entry.value, type=cls)
        except DECODE_ERRORS as error:
            _log.warning(
                "Ignored an entry that cannot be decoded.",
                name=entry.name,
                error=str(error)[:200],
            )
