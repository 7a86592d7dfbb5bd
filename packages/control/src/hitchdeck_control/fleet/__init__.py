"""The leader's side of the fleet: routers, leases, duties, usage, orders."""
