"""Replicated state: bans, ejections and quota use that each ingress shares with its peers."""
