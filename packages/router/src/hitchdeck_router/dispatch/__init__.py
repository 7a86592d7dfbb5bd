"""From a granted slot to a whole answer."""
