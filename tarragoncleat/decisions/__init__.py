"""Decisions of the leader: waves, placement, moves and calls to workers."""
