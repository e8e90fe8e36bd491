"""Tests of the room ``load`` of the gateway."""
