"""Tests of `mulberrygate.tables`."""
