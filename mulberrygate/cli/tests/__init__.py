"""Tests of `mulberrygate.cli`."""
