"""Compare routing policies with real processes, in one run."""
