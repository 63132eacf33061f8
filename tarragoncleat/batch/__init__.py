"""Queues of jobs whose tasks run on workers under leases."""
