"""The replicated state of queues, jobs, workers and waves, and its commands."""
