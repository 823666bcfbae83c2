"""Benchmark of the routing policies with real processes on one machine."""
