"""Fair scheduling of upstream slots: shard schedulers and their clients."""
