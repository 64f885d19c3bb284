"""opalgauge: an HTTP ingress that shares quotas over many instances."""
