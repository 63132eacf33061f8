"""Benchmarks of the decisions, the request path and the control state."""
