"""Routers: HTTP API, admission, scheduling and dispatch."""
