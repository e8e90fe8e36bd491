"""Tests of the room ``selection`` of the gateway."""
