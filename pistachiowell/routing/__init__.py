"""Routing of the router fleet."""
