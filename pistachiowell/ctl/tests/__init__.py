"""Tests of ctl."""
