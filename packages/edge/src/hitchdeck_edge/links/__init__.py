"""Streams from a box to the hubs."""
