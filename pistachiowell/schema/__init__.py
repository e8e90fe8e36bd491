"""Schemas of messages, settings, table rows, stored objects, events and error codes."""
