"""Zone failover: a fleet leaves a failing zone together and returns no faster than its servers can bear."""
