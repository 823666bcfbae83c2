"""Stand-in of the platform: table, object store and list of VMs."""
