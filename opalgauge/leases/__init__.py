"""Leases of quotas: what an ingress may spend without asking the quota counter, and while it cannot."""
