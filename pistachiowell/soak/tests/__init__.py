"""Tests of the soak and of failures that need whole programs."""
