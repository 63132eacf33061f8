"""Shared basics: ids, errors, settings, timers, messages, logs and metrics."""
