"""A laboratory: the real scheduler before engines that exist on paper."""
