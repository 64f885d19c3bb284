"""Stand-ins, load generators, a fault proxy, simulations, benchmarks and experiments.

Nothing that serves requests imports this package.
"""
