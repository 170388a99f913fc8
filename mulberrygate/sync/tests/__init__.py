"""Tests of `mulberrygate.sync`."""
