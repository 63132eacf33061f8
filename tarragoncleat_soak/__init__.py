"""A soak that checks the promises of the batch service under random faults."""
