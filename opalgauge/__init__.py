"""opalgauge: a shared-quota HTTP ingress, on real sockets."""
