"""Tests of `mulberrygate.entry`."""
