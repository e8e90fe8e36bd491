"""Membership: which peers are alive, silent, leaving or lost."""

from pistachiowell.membership.peers import MembershipSettings, PeerState, PeerTable

__all__ = ["MembershipSettings", "PeerTable", "PeerState"]
