"""Sizes of pools, moves of instances between them, and maintenance waves."""
