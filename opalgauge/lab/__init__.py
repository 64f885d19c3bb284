"""The laboratory: stand-ins, load and measurements. Serving imports nothing of it."""
