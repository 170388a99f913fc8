"""Tests of `mulberrygate.control`."""
