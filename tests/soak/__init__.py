"""Randomized soak tests of real entry processes under injected faults."""
