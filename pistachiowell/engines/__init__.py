"""Engines of the router fleet."""
