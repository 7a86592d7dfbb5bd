"""Types of configuration, requests and upstreams."""
