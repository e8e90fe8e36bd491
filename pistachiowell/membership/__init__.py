"""Membership of the router fleet."""
