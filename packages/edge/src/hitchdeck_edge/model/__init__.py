"""Types for configuration, requests, placement and upstreams."""
