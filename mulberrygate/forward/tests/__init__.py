"""Tests of `mulberrygate.forward`."""
