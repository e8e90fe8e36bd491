"""Type of the random number generators that are passed to decision classes."""

from random import Random

__all__ = ["Random"]
