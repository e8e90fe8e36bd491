"""Adapter to the users' platform: its store, its documents and its headers.

Nothing outside this package knows the platform's names. Each document is decoded once
into the types of ``pistachiowell.catalog`` and ``pistachiowell.gateway``.
"""
