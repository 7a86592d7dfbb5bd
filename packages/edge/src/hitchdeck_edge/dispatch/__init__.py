"""Sending one request to upstreams, and passing the answer on."""
