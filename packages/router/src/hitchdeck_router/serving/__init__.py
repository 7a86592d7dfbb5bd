"""HTTP API of a router, on tornado."""
