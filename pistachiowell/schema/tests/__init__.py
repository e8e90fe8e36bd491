"""Tests of schema."""
