"""Tools that run, load and benchmark the real programs on one machine."""
