"""What a router knows of the fleet, and its link to the control group."""
