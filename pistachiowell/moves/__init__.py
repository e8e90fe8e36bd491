"""Moves of the router fleet."""
