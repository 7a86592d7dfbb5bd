"""Entry boxes and hubs of a fleet that passes requests through raw."""
