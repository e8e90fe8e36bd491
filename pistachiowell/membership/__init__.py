"""Membership: which peers live, leave or are gone."""

from pistachiowell.membership.peers import MembershipSettings, PeerState, PeerTable

__all__ = ["MembershipSettings", "PeerTable", "PeerState"]
