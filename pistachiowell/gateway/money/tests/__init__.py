"""Tests of the room ``money`` of the gateway."""
