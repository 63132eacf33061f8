"""Which jobs get capacity, and on which workers their tasks run."""
