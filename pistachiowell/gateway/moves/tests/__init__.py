"""Tests of the room ``moves`` of the gateway."""
