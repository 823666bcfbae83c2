"""Test harness that runs a full deployment and injects faults into it."""
