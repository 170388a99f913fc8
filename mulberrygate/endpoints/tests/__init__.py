"""Tests of `mulberrygate.endpoints`."""
