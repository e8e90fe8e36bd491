"""Interface of the platform: its object store and its list of VMs."""

from pistachiowell.store.http import HttpStore
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT, Change, Entry, Store, Vm

__all__ = ["ABSENT", "Change", "Entry", "HttpStore", "MemoryStore", "Store", "Vm"]
