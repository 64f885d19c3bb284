"""What an ingress keeps: its state, the events that change it, the effects it asks for, the one reducer."""
