"""Nodes that discover each other at run time and replicate a log."""
