"""Tests of single modules."""
