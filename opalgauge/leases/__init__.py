"""Quota leases: units that an ingress may spend without calling the quota counter, or while it cannot."""
