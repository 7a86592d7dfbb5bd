"""Short soak tests of the real programs, with fixed seeds."""
