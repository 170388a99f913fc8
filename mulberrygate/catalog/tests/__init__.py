"""Tests of `mulberrygate.catalog`."""
