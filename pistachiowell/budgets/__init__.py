"""Budgets of the router fleet."""
