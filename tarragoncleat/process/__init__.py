"""The daemon process of an entry, and its HTTP listener."""
