"""Tests of `mulberrygate.standin`."""
