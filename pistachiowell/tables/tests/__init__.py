"""Tests of tables."""
