"""Placement of requests on upstreams, and fair sharing between accounts."""
