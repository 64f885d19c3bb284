"""The command line `opalgauge`. `python -m opalgauge` without arguments serves and loads none of this."""
