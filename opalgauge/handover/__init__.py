"""An old and a new process at one address, as one ingress."""
