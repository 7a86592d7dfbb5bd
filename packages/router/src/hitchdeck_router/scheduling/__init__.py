"""Sharing capacity: the scheduler of a shard, and its clients."""
