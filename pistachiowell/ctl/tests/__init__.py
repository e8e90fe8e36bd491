"""Tests of ``pistachiowell.ctl``."""
