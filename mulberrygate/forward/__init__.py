"""Forwarding path for requests whose routes are selected by host and path."""
