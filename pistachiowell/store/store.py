"""Interface of the platform's store.

Adapters implement ``Store``. Values are bytes, at most ``MAX_VALUE_BYTES``. Versions
are opaque positive integers that grow with every write to the store, also after a
return from an older copy; see ``pistachiowell.store.era``.
"""

from dataclasses import dataclass
from typing import Protocol

from pistachiowell.store.era import StoreEra

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
        status: JSON document that the programs report about the object; ``b"null"`` if
            there is none.
    """

    collection: str
    name: str
    version: int
    value: bytes
    status: bytes = b"null"


@dataclass(frozen=True, slots=True)
class Change:
    """A change reported by a watch.

    Attributes:
        name: Name of the object.
        version: Version of the change.
        value: New content; None if the object was deleted.
        status: New status of the object.
    """

    name: str
    version: int
    value: bytes | None
    status: bytes = b"null"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's list, which lags behind the running VMs.

    Attributes:
        name: Name of the VM.
        host: IP address.
        leaving: Whether the platform has begun to remove it.
    """

    name: str
    host: str
    leaving: bool


class Store(Protocol):
    """The operations of the platform's store that the project uses.

    Writes are conditional on the version that the writer has read, so that two writers
    cannot overwrite each other unnoticed. All methods may raise ``StoreUnavailable`` or
    ``StoreThrottled``, after which the call has taken no effect. Writes may also raise
    ``StoreAnswerLost``: the write may have taken effect, now or later. The writer then
    reads the object to find out, and a repeated write with the same expected version
    takes effect at most once.

    A write whose expected version is from before a return of the store from an older
    copy raises ``StoreConflict`` and is not sent.

    Attributes:
        era: The ``StoreEra``.
    """

    era: StoreEra

    async def get(self, collection, name):
        """Returns an ``Entry``, or None."""

    async def put(self, collection, name, value, expected_version):
        """Writes if the object still has the expected version.

        Args:
            collection: Kind of the object.
            name: Name of the object.
            value: Content as bytes.
            expected_version: Version last read; ``ABSENT`` to create the object.

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
        """Returns ``(entries, version)``: all objects and the version of the list."""

    def watch(self, collection, after_version, wait_s=None):
        """Returns an async iterator of each ``Change`` after a version.

        Args:
            collection: Name of the collection.
            after_version: Version of the last list or change.
            wait_s: Longest time in seconds that one call of an adapter waits for a
                change; None for the adapter's own.

        An adapter may also yield None when the store confirms that there are no further
        changes.

        Raises:
            StoreConflict: The store no longer keeps the history after this version, or
                has returned from an older copy; list the collection again.
        """

    async def vms(self):
        """Returns the platform's list of ``Vm``, which lags behind the running VMs."""
