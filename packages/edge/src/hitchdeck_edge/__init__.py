"""Entry boxes and hubs: a fleet that forwards requests to upstreams unchanged."""
