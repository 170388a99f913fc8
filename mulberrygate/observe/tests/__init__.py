"""Tests of `mulberrygate.observe`."""
