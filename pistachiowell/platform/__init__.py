"""Adapter to the users' platform: its store, its documents and its headers.

No other package uses the platform's names, apart from the soak tests. Each document is
decoded once into the types of ``pistachiowell.catalog`` and ``pistachiowell.gateway``,
so a change of the platform's API affects only this package.
"""
