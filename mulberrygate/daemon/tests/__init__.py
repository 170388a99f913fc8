"""Tests of `mulberrygate.daemon`."""
