"""Stateful fuzz tests against simple models."""
