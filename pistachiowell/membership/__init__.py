"""Membership: which peers live, leave or are gone."""

from pistachiowell.membership.peers import MembershipSettings, PeerBook, PeerState

__all__ = ["MembershipSettings", "PeerBook", "PeerState"]
