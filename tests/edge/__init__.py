"""Tests of entry boxes and hubs on loopback, without the bench."""
