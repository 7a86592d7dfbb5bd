"""Tests of entry boxes and hubs, on loopback and without the bench."""
