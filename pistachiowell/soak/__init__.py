"""Randomized soak of the gateway programs as separate processes."""
