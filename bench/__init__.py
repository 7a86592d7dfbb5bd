"""Measurements: each script prints the figures that docs/ quotes."""
