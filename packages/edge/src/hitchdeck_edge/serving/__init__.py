"""Doors of the processes: callers, readiness, metrics."""
