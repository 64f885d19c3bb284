"""Handover from an old process of an ingress to a new one that listens on the same address."""
