"""Tests of the room ``common`` of the gateway."""
