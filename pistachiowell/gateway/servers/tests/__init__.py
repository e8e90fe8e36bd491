"""Tests of the room ``servers`` of the gateway."""
