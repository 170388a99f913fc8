"""Tests of `mulberrygate.core`."""
