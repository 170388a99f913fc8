"""Forwarding of requests that routes select by host and path."""
