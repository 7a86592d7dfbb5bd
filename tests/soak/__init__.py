"""The soak of the real programs, short and with a fixed seed."""
