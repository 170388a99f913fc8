"""Tests of `mulberrygate.quota`."""
