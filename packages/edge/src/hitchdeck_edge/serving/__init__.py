"""HTTP servers of an entry box: callers, readiness, metrics."""
