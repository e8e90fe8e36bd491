"""Loads of engines as one link transfers them: only those that have changed.

Load pattern: an agent sums the loads of many engines for many gateways, and between two
reports to a gateway the loads of few of them change. Reports of all loads with the
engines' names fill the agent's network link, and small gateways spend processor time on
decoding them.

Both ends of a link number the engines in the order in which the sender names them, so
that a name is sent once. The transport keeps the order and loses nothing before the end
of the link. A new link begins without any numbers.
"""

import itertools
from dataclasses import dataclass

from pistachiowell.core.errors import MessageInvalid
from pistachiowell.routing.engine_table import NO_LOAD, EngineLoad
from pistachiowell.routing.sharing import LoadSums

MAX_ENGINES = 1_024
# Numbers of one link. A sender starts over once it has used half of them, as engines
# that come and go would use them up.
MAX_NUMBERS = 2 * MAX_ENGINES
# An engine's number and the three values of its load.
INTEGERS_PER_LOAD = 4


@dataclass(frozen=True, slots=True)
class EncodedLoads:
    """Loads as a message contains them.

    Attributes:
        is_whole: Whether all numbers and loads from before end.
        engines: Addresses of the engines that get the next numbers, from 0.
        loads: For each load the number of its engine, its ``reading_tokens``, its
            ``running`` requests and its ``kv_tokens``, one after another.
    """

    is_whole: bool
    engines: list
    loads: list


class LoadEncoder:
    """Encodes the loads that are sent over one link.

    Examples:
        >>> encoder = LoadEncoder()
        >>> encoder.encode({"10.0.0.1:80": EngineLoad(100, 1, 120)})
        EncodedLoads(is_whole=True, engines=['10.0.0.1:80'], loads=[0, 100, 1, 120])
        >>> encoder.encode({"10.0.0.1:80": EngineLoad(0, 1, 120)})
        EncodedLoads(is_whole=False, engines=[], loads=[0, 0, 1, 120])
    """

    __slots__ = ("_is_new", "_numbers")

    def __init__(self):
        self._numbers = {}
        self._is_new = True

    @property
    def is_full(self):
        """Whether it has to be restarted before the numbers are used up."""
        return len(self._numbers) >= MAX_ENGINES

    def restart(self):
        """Has the next message end all numbers and loads from before."""
        self._numbers.clear()
        self._is_new = True

    def encode(self, loads):
        """Returns the ``EncodedLoads`` of loads by address."""
        engines, values = [], []
        for address, load in loads.items():
            number = self._numbers.get(address)
            if number is None:
                number = len(self._numbers)
                if number == MAX_NUMBERS:
                    continue
                self._numbers[address] = number
                engines.append(address)
            values += (number, load.reading_tokens, load.running, load.kv_tokens)
        is_whole, self._is_new = self._is_new, False
        return EncodedLoads(is_whole, engines, values)


class LoadDecoder:
    """Decodes the loads that come over one link, and knows those in force.

    Examples:
        >>> decoder = LoadDecoder()
        >>> decoder.decode(EncodedLoads(True, ["a:80", "b:80"], [1, 5, 1, 9]))
        {'b:80': EngineLoad(reading_tokens=5, running=1, kv_tokens=9)}
        >>> decoder.decode(EncodedLoads(False, [], [1, 0, 0, 0]))
        {'b:80': EngineLoad(reading_tokens=0, running=0, kv_tokens=0)}
        >>> decoder.loads
        {}
    """

    __slots__ = ("_addresses", "_loads")

    def __init__(self):
        self._addresses = []
        self._loads = {}

    @property
    def loads(self):
        """Loads in force by address; those without any requests are left out."""
        return self._loads

    def decode(self, encoded):
        """Records received loads.

        Args:
            encoded: The ``EncodedLoads``.

        Returns:
            The changed loads by address.

        Raises:
            MessageInvalid: The loads do not fit those from before; nothing is recorded.
        """
        addresses = [] if encoded.is_whole else self._addresses
        addresses = addresses + encoded.engines if encoded.engines else addresses
        _check(len(addresses), encoded.loads)
        # What a whole message leaves out has ended.
        changed = dict.fromkeys(self._loads, NO_LOAD) if encoded.is_whole else {}
        numbers, *values = _columns(encoded.loads)
        names = [addresses[number] for number in numbers]
        changed.update(zip(names, map(EngineLoad, *values), strict=True))
        self._addresses = addresses
        for address, load in changed.items():
            if load == NO_LOAD:
                self._loads.pop(address, None)
            else:
                self._loads[address] = load
        return changed


def _columns(values):
    """Returns the numbers of the engines, and a list for each value of their loads."""
    return [values[first::INTEGERS_PER_LOAD] for first in range(INTEGERS_PER_LOAD)]


def _check(engines, values):
    if engines > MAX_NUMBERS:
        raise MessageInvalid(f"Loads of more than {MAX_NUMBERS} engines.")
    if len(values) % INTEGERS_PER_LOAD:
        raise MessageInvalid("The last load is not complete.")
    numbers = values[::INTEGERS_PER_LOAD]
    if numbers and not 0 <= min(numbers) <= max(numbers) < engines:
        raise MessageInvalid("A load has a number that no engine has.")


class SharedLoads:
    """Sums the loads of the routers, and knows what was sent to each.

    Examples:
        >>> shared = SharedLoads()
        >>> shared.add_router("r1")
        >>> shared.record_load("r2", "a:80", EngineLoad(5, 1, 9))
        >>> shared.changes("r1")
        {'a:80': EngineLoad(reading_tokens=5, running=1, kv_tokens=9)}
        >>> shared.record_sent("r1", shared.changes("r1"))
        >>> shared.changes("r1")
        {}
    """

    __slots__ = ("_changed_at", "_numbers", "_sent", "_sums")

    def __init__(self):
        self._sums = {}
        # Number of the latest change of each engine, the latest change last.
        self._changed_at = {}
        self._numbers = itertools.count(1)
        self._sent = {}

    def add_router(self, router):
        """Adds a router, or has all loads sent to it again."""
        self._sent[router] = _SentLoads()

    def remove_router(self, router):
        """Removes a router and its loads."""
        self._sent.pop(router, None)
        for address, sums in self._sums.items():
            if sums.remove(router):
                self._mark_changed(address)

    def record_load(self, router, address, load):
        """Records the ``EngineLoad`` of a router at an engine."""
        sums = self._sums.get(address)
        if sums is None:
            if len(self._sums) >= MAX_ENGINES:
                return
            sums = self._sums[address] = LoadSums()
        sums.record_load(router, load)
        self._mark_changed(address)

    def _mark_changed(self, address):
        self._changed_at.pop(address, None)
        self._changed_at[address] = next(self._numbers)

    def others(self, router):
        """Returns the loads of the other routers at all engines by address."""
        return {
            address: sums.total_except(router) for address, sums in self._sums.items()
        }

    def changes(self, router):
        """Returns the loads of the others that were not sent to a router yet.

        At first these are the loads at all engines, also at those without requests, as
        the router may still count what it got over an earlier link.
        """
        sent = self._sent[router]
        changes = {}
        for address, number in reversed(self._changed_at.items()):
            if number <= sent.number:
                break
            load = self._sums[address].total_except(router)
            known = sent.loads.get(address)
            if known is not load and known != load:
                changes[address] = load
        return changes

    def record_sent(self, router, changes):
        """Records that what ``changes`` returns now was sent to a router."""
        sent = self._sent[router]
        sent.loads.update(changes)
        if self._changed_at:
            sent.number = next(reversed(self._changed_at.values()))


class _SentLoads:
    """The loads that were sent to a router.

    Attributes:
        loads: The loads by address.
        number: Number of the latest change that they contain.
    """

    __slots__ = ("loads", "number")

    def __init__(self):
        self.loads = {}
        self.number = 0
