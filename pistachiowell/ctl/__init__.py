"""Command line tool for operators, ``pistachiowell-ctl``."""
