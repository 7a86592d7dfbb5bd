"""Routers: admission, scheduling, dispatch, and the callers' doors."""
