"""Rules that the head of a final HTTP answer has to keep to be passed on."""

import re

FIRST_STATUS = 200
LAST_STATUS = 599
# Of a name in a message.
MAX_SHOWN_BYTES = 40

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")


def is_header_value(value):
    r"""Returns whether bytes can be the value of a header.

    Examples:
        >>> is_header_value(b"caf\xe9"), is_header_value(b"a\n")
        (True, False)
    """
    return _VALUE.fullmatch(value) is not None


def find_head_fault(status, headers):
    r"""Returns why a head cannot be passed on; an empty text if it can.

    Parsers of answers let more pass than a web server writes, which fails once the
    answer has begun.

    Args:
        status: HTTP status.
        headers: Pairs of bytes.

    Examples:
        >>> find_head_fault(299, [(b"x-note", b"caf\xe9")])
        ''
        >>> find_head_fault(600, [])
        'Its status is 600.'
        >>> find_head_fault(200, [(b"x-note", b"\x7f")])
        "The value of its header b'x-note' has control characters."

    References:
        RFC 9110, sections 5.1, 5.5 and 15: names, values and statuses.
    """
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return f"Its status is {status}."
    for name, value in headers:
        shown = name[:MAX_SHOWN_BYTES]
        if not _NAME.fullmatch(name):
            return f"It has a header with the name {shown!r}."
        if not is_header_value(value):
            return f"The value of its header {shown!r} has control characters."
    return ""
