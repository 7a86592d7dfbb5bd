"""Dispatch of admitted requests to upstreams."""
