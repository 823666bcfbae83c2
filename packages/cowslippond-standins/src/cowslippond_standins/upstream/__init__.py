"""Stand-in upstream with slots, varying speed, faults and a ledger."""
