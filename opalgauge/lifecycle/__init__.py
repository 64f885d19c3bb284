"""Start and stop: configuration, clock, readiness, SIGTERM and exit."""
