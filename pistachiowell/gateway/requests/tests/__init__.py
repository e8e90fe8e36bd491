"""Tests of the room ``requests`` of the gateway."""
