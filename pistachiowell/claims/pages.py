"""Claim pages: names, encoding, and transitions from one page to the next."""

import dataclasses

import msgspec

from pistachiowell.core.decoding import DECODE_ERRORS
from pistachiowell.core.errors import StoreUnavailable
from pistachiowell.schema.generated.objects_claims import ClaimLayout, ClaimPage

COLLECTION = "claimpages"
LAYOUT_NAME = "layout"
MAX_PAGE_CLAIMS = 4096


def open_page_name(bucket):
    """Returns the name of the object with a bucket's open page.

    Examples:
        >>> open_page_name(7)
        'bucket-00007'
    """
    return f"bucket-{bucket:05d}"


def archive_name(bucket, sequence):
    """Returns the name of the archive object with a sealed page.

    Examples:
        >>> archive_name(7, 2)
        'bucket-00007-0000000002'
    """
    return f"{open_page_name(bucket)}-{sequence:010d}"


def decode_page(value):
    """Decodes a claim page.

    Raises:
        StoreUnavailable: The value is not a claim page.
    """
    return _decode(value, ClaimPage)


def decode_layout(value):
    """Decodes the layout.

    Raises:
        StoreUnavailable: The value is not a layout.
    """
    layout = _decode(value, ClaimLayout)
    if layout.buckets < 1:
        raise StoreUnavailable(
            f"The claim layout has {layout.buckets} buckets; it needs at least 1."
        )
    return layout


def _decode(value, cls):
    try:
        return msgspec.json.decode(value, type=cls)
    except DECODE_ERRORS as error:
        raise StoreUnavailable(f"A {cls.__name__} is unreadable: {error}.") from error


def add_claims(page, claims, page_size, wall_s):
    """Adds claims to an open page and seals it once it is full.

    Args:
        page: The ``ClaimPage``.
        claims: New ``Claim`` by digest.
        page_size: Number of claims from which a page is sealed.
        wall_s: Wall time in seconds since 1970.

    Returns:
        The new page. Adding and sealing are one write, so that no claim is added to a
        full page in between.
    """
    merged = page.claims | claims
    if len(merged) < page_size:
        return dataclasses.replace(page, claims=merged)
    return dataclasses.replace(page, claims=merged, sealed=True, sealed_at_s=wall_s)


def remove_claims(page, digests):
    """Returns an open page without the claims of some keys.

    Args:
        page: The ``ClaimPage``.
        digests: Digests of the keys.
    """
    claims = {key: claim for key, claim in page.claims.items() if key not in digests}
    return dataclasses.replace(page, claims=claims)


def next_page(page, oldest):
    """Returns the empty page that follows a sealed one.

    Args:
        page: The sealed ``ClaimPage``.
        oldest: Number of the oldest archived page within the retention time.
    """
    return ClaimPage(sequence=page.sequence + 1, oldest=oldest)
