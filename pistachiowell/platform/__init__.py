"""Port to the platform: its object store and its list of VMs."""

from pistachiowell.platform.http import HttpStore
from pistachiowell.platform.memory import MemoryStore
from pistachiowell.platform.store import ABSENT, Change, Entry, Store, Vm

__all__ = ["ABSENT", "Change", "Entry", "HttpStore", "MemoryStore", "Store", "Vm"]
