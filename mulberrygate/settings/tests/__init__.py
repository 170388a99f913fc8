"""Tests of `mulberrygate.settings`."""
