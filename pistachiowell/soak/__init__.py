"""Randomized soak test of the gateway programs as separate processes."""
