"""Requests under which upstreams end, known by their content and kept away."""
