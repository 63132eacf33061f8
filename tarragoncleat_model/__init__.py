"""A leader and its workers in simulated time, with random faults and checks."""
