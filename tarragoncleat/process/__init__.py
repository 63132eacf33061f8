"""The entry's daemon and its HTTP listener."""
