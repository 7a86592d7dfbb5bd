"""Command-line interface for operators."""
