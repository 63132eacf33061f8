"""Decisions of the leader: waves, placement, moves, and visits to workers."""
