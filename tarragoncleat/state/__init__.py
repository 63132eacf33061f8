"""The replicated state machine of the fleet."""
