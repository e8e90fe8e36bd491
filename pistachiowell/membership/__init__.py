"""Membership: which peers are alive, silent, leaving or lost."""

from pistachiowell.membership.peers import MembershipSettings, PeerState, PeerTable
from pistachiowell.membership.subset import PeerSubset, SubsetSettings

__all__ = [
    "MembershipSettings",
    "PeerState",
    "PeerSubset",
    "PeerTable",
    "SubsetSettings",
]
