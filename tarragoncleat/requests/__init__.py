"""Forwarding of callers' requests to upstreams."""
