"""The replicated state machine, which applies committed commands."""
