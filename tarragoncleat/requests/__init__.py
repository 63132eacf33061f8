"""The path of the callers' requests."""
