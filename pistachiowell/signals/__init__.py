"""Signals of a program, from its first statement to its end.

A program calls ``signals_held`` before its other imports. This package imports next to
nothing itself; ``pistachiowell.signals.watch`` needs the event loop and is imported by
the parts that run in it.
"""

from pistachiowell.signals.held import signals_held

__all__ = ["signals_held"]
