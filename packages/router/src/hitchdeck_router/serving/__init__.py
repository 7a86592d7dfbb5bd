"""The callers' doors: HTTP handlers on tornado."""
