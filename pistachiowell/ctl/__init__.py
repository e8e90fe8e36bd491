"""Ctl of the router fleet."""
