"""Tests of `mulberrygate.platform`."""
