"""Admission of the router fleet."""
