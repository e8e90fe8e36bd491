"""Port to the platform: its object store and its list of VMs."""

from pistachiowell.platform.store import Change, Entry, Store, Vm

__all__ = ["Change", "Entry", "Store", "Vm"]
