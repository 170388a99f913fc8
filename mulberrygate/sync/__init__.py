"""Synchronisation of entries with the control processes: catalog, roster, moves, quarantine."""
