"""Type of the random number generators that decision classes are given."""

from random import Random

__all__ = ["Random"]
