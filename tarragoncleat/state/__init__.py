"""The replicated state of the fleet and its rules."""
