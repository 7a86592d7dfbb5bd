"""The control group: a replicated log and what it decides."""
