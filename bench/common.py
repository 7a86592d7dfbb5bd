"""Measurements share helpers here."""
