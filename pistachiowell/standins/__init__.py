"""Standins of the router fleet."""
