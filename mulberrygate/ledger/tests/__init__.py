"""Tests of `mulberrygate.ledger`."""
