"""Streams from a box to the hubs and to the scheduler."""
