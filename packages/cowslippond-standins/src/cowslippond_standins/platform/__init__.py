"""Stand-in of the platform: table, object store and VM list."""
