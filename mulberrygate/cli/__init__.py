"""Operator command `mulberrygate`."""
