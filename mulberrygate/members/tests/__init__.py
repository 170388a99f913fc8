"""Tests of `mulberrygate.members`."""
