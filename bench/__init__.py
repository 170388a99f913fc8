"""Benchmarks at virtual time and measurements of cost."""
