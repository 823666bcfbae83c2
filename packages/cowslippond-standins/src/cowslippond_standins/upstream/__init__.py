"""Stand-in of an upstream: slots, changing speed, faults and a ledger."""
