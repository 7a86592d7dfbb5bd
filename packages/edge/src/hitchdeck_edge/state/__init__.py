"""What a process knows: documents, upstreams, loads."""
