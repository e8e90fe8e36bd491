"""Membership: which peers are alive, silent, leaving or lost."""

from pistachiowell.membership.deputies import DeputyRule, DeputySettings
from pistachiowell.membership.peers import MembershipSettings, PeerState, PeerTable
from pistachiowell.membership.subset import PeerSubset, SubsetSettings, first_peers

__all__ = [
    "DeputyRule",
    "DeputySettings",
    "MembershipSettings",
    "PeerState",
    "PeerSubset",
    "PeerTable",
    "SubsetSettings",
    "first_peers",
]
