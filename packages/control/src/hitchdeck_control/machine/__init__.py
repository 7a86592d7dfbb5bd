"""The state machine: what committed commands mean."""
