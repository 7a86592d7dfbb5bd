"""Quarantine of requests that crash upstreams, recognized by their content."""
