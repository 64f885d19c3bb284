"""Fault injection: real processes of the program between stand-ins that fail, judged from records alone.

`python -m tests.soak --seed N --seeds K` plays K runs. A run draws its deployment and faults from its seed.
"""
