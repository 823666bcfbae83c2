"""TCP proxy that brings about faults between two processes."""
