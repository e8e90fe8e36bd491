"""Tests of router."""
