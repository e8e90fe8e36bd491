"""Tests of the room ``feeds`` of the gateway."""
