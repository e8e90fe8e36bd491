"""Schemas of messages, settings, table rows, stored objects and events."""
