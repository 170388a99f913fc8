"""Tests of `mulberrygate.agreement`."""
