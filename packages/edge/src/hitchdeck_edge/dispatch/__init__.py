"""Sending a request to upstreams, and forwarding the response."""
