"""Eras of a store that may return from an older copy of its content.

What was written after the copy is then gone, and the store gives the revisions of the
lost writes out again. It numbers its eras, and each answer names the present one. The
versions that the project uses contain the era, so that versions of two eras are never
equal and those of a later era are greater.
"""

from contextlib import contextmanager

from pistachiowell.core.errors import StoreConflict
from pistachiowell.core.logs import part_logger

# Bits of a version that hold the revision; the bits above hold the era.
REVISION_BITS = 40

_log = part_logger("store")


def era_of(version):
    """Returns the number of the era of a version.

    Examples:
        >>> era_of(7), era_of((3 << REVISION_BITS) + 7)
        (0, 3)
    """
    return version >> REVISION_BITS


class StoreEra:
    """The present era of a store, as its answers name it.

    A store that names no era stays in era 0, where versions equal revisions.

    Examples:
        >>> era = StoreEra()
        >>> era.record(3)
        True
        >>> version = era.version(7)
        >>> era.revision(version)
        7
        >>> era.record(4), era.record(3)
        (True, False)
        >>> era.version(1) > version
        True
    """

    __slots__ = ("_listeners", "_number")

    def __init__(self):
        self._number = 0
        self._listeners = []

    @property
    def number(self):
        """Number of the present era; 0 if the store names none."""
        return self._number

    def add_listener(self, function):
        """Registers a function to call with the new number at each return."""
        self._listeners.append(function)

    def record(self, number):
        """Records the era that an answer names.

        Args:
            number: Number of the era; None if the answer names none.

        Returns:
            Whether the answer belongs to the present era. An earlier one describes what
            the store has lost.
        """
        if number is None or number == self._number:
            return True
        if number < self._number:
            return False
        previous, self._number = self._number, number
        if previous:
            _log.warning(
                "The store has returned from an older copy.",
                era=number,
                previous=previous,
            )
            for listener in list(self._listeners):
                listener(number)
        return True

    def version(self, revision):
        """Returns the version of a revision of the present era."""
        return (self._number << REVISION_BITS) + revision

    def revision(self, version):
        """Returns the revision of a version of the present era.

        Raises:
            StoreConflict: The version is of an earlier era; its revision may belong to
                another write now.
        """
        number, revision = divmod(version, 1 << REVISION_BITS)
        if number != self._number:
            raise StoreConflict(
                "The store has returned from an older copy; read the object again."
            )
        return revision

    @contextmanager
    def cancel_at_return(self, scope):
        """Cancels a scope if the store returns while the context is open.

        Args:
            scope: An anyio ``CancelScope``.
        """

        def cancel(number):
            del number
            scope.cancel()

        self._listeners.append(cancel)
        try:
            yield
        finally:
            self._listeners.remove(cancel)
