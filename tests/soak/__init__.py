"""Randomized fault tests: real ingress processes between stand-ins that fail.

`python -m tests.soak --seed N --seeds K` runs K seeds, beginning with N. A run draws its deployment and its
faults from its seed, and is checked only against what the stand-ins recorded.
"""
