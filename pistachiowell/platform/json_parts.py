"""Splits a JSON document into its outermost parts without decoding these.

One part that no decoder accepts, with bytes that are not Unicode or nested too deeply,
then leaves the others readable.
"""

import re

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\],]', re.DOTALL)
_MEMBER = re.compile(rb'\s*"((?:[^"\\]|\\.)*)"\s*:', re.DOTALL)
_OPENING, _CLOSING = b"{[", b"}]"


def elements(document):
    """Returns the raw elements of an array, or the raw members of an object.

    Args:
        document: The JSON document as bytes.

    Raises:
        ValueError: It is no array or object, or does not end.

    Examples:
        >>> elements(b'[{"a": [1, 2]}, "x,y"]')
        [b'{"a": [1, 2]}', b'"x,y"']
        >>> elements(b' [ ] ')
        []
    """
    parts, depth, start = [], 0, None
    for match in _TOKENS.finditer(document):
        token = match[0]
        if token in _OPENING:
            depth += 1
            start = match.end() if start is None else start
        elif token in _CLOSING:
            depth -= 1
            if depth == 0:
                last = document[start : match.start()].strip()
                return [*parts, last] if last or parts else []
        elif token == b"," and depth == 1:
            parts.append(document[start : match.start()].strip())
            start = match.end()
    raise ValueError("The JSON document is no array or object, or does not end.")


def members(document):
    """Returns the raw values of an object by their names, as bytes.

    Args:
        document: The JSON document as bytes.

    Raises:
        ValueError: It is no object or does not end.

    Examples:
        >>> members(b'{"a": [1], "b": {"c": 2}}')
        {b'a': b'[1]', b'b': b'{"c": 2}'}
    """
    values = {}
    for element in elements(document):
        match = _MEMBER.match(element)
        if match is None:
            raise ValueError("A part of the JSON document has no name.")
        values[match[1]] = element[match.end() :].strip()
    return values
