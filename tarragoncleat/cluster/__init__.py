"""Processes that find each other at run time, and their log."""
