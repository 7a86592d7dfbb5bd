"""State of the fleet as a process knows it: configuration, upstreams, load."""
