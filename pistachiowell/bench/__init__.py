"""Tools that run, load and measure the real programs on one machine."""
