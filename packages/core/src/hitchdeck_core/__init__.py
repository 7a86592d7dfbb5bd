"""Code shared by all hitchdeck processes: ids, selectors, settings, messages."""
