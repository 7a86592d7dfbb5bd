"""The hub: fleet state in memory, and the replicated group that stores documents."""
