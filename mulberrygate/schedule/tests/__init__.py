"""Tests of `mulberrygate.schedule`."""
