"""Tests of the catalog."""
