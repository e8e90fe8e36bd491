"""Bodies of answers that are read completely, with a limit on their bytes.

A peer in trouble may send bytes without end. Each body has a limit, and so have all
bodies that are read at the same time, however many connections there are.
"""


class EndlessBodyError(Exception):
    """A body, or all bodies that are read at the same time, exceed their limit."""


class HeldBytes:
    """Counts the bytes of all bodies that are being read.

    Args:
        limit: Largest number of bytes.

    Attributes:
        size: Present number of bytes.
    """

    __slots__ = ("limit", "size")

    def __init__(self, limit):
        self.limit = limit
        self.size = 0


class BodyBuffer:
    """Bytes of one body; a context manager that releases them.

    Args:
        held: The ``HeldBytes`` of all bodies.
        max_bytes: Largest size of this body in bytes.

    Attributes:
        size: Number of bytes.

    Examples:
        >>> held = HeldBytes(100)
        >>> with BodyBuffer(held, max_bytes=10) as buffer:
        ...     buffer.add(b"12345")
        ...     held.size, buffer.join()
        (5, b'12345')
        >>> held.size
        0
    """

    __slots__ = ("_held", "_max_bytes", "_parts", "size")

    def __init__(self, held, max_bytes):
        self._held = held
        self._max_bytes = max_bytes
        self._parts = []
        self.size = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._held.size -= self.size
        # The traceback of an error may refer to the buffer for some time.
        self._parts.clear()

    def add(self, data):
        """Adds bytes.

        Raises:
            EndlessBodyError: A limit is exceeded.
        """
        self._parts.append(data)
        self.size += len(data)
        self._held.size += len(data)
        if self.size > self._max_bytes:
            raise EndlessBodyError(f"The answer exceeds {self._max_bytes} bytes.")
        if self._held.size > self._held.limit:
            raise EndlessBodyError(
                "The answers in progress exceed the memory for them."
            )

    def join(self):
        """Returns all bytes."""
        return b"".join(self._parts)
