"""Tests of the engine adapters."""
