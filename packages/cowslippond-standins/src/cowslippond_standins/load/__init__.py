"""Open-loop load generator: a fixed, seeded schedule of calls."""
