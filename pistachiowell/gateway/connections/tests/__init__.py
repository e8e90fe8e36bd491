"""Tests of the room ``connections`` of the gateway."""
