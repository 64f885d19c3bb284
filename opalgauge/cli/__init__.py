"""The command line `opalgauge`. `python -m opalgauge` serves without importing any of it."""
