"""The control group: a replicated state machine for configuration and claims."""
