"""A router's view of the fleet, and its link to the control group."""
