"""Messages between processes, generated from ``hitchdeck.proto``."""
