"""Bench of the router fleet."""
