"""opalgauge: the shared-quota ingress of rennes-campus, on real sockets."""
