"""Failures of real processes."""
