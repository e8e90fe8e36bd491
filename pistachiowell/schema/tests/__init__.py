"""Tests of ``pistachiowell.schema``."""
