"""Choosing an upstream, and whose turn it is."""
