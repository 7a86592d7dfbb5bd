"""The leader's view of the fleet: routers, leases, shards, usage and orders."""
