"""Tests of `mulberrygate.peers`."""
