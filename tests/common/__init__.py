"""Helpers that tests share."""
