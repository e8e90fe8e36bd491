"""The port to the platform's store.

Adapters implement ``Store``. Values are bytes, at most a megabyte. Versions are
opaque positive integers that grow with every write to the store.
"""

from dataclasses import dataclass
from typing import Protocol

ABSENT = 0
MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """An object of the store.

    Attributes:
        collection: Kind of the object.
        name: Name, unique in its collection; lower-case letters, digits, hyphens.
        version: Version of the latest write.
        value: Content.
        status: What the programs report about the object; ``b"null"`` for nothing.
    """

    collection: str
    name: str
    version: int
    value: bytes
    status: bytes = b"null"


@dataclass(frozen=True, slots=True)
class Change:
    """A change that a watch has seen.

    Attributes:
        name: Name of the object.
        version: Version of the change.
        value: New content; None if the object was deleted.
        status: New report about the object.
    """

    name: str
    version: int
    value: bytes | None
    status: bytes = b"null"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the platform's lagging list.

    Attributes:
        name: Name of the VM.
        host: IP address.
        leaving: Whether the platform has begun to take it away.
    """

    name: str
    host: str
    leaving: bool


class Store(Protocol):
    """What the project uses of the platform's store.

    All methods may raise ``StoreUnavailable`` (nothing took effect),
    ``StoreThrottled`` (nothing took effect) and, for writes, ``StoreAnswerLost``
    (it may have taken effect).
    """

    async def get(self, collection, name):
        """Returns an ``Entry``, or None."""

    async def put(self, collection, name, value, expected_version):
        """Writes if the object still has the expected version.

        Args:
            collection: Kind of the object.
            name: Name of the object.
            value: Content as bytes.
            expected_version: Version last read; ``ABSENT`` to create.

        Returns:
            The new version.

        Raises:
            StoreConflict: The object has another version.
        """

    async def delete(self, collection, name, expected_version):
        """Deletes if the object still has the expected version.

        Raises:
            StoreConflict: The object has another version or is absent.
        """

    async def list(self, collection):
        """Returns ``(entries, version)``: all objects and the list's version."""

    def watch(self, collection, after_version):
        """Returns an async iterator of ``Change`` after a version.

        Raises:
            StoreConflict: The version is too old; list the collection again.
        """

    async def vms(self):
        """Returns the platform's list of ``Vm``, which lags."""
