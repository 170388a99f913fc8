"""Adapter to the users' platform: names, formats and calls, with nothing that decides."""
