"""Randomized soak test: runs the real programs under injected faults."""
