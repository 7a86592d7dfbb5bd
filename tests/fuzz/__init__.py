"""Stateful fuzzing against simple oracles."""
