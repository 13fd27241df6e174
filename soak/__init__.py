"""Randomized soak tests: real daemon processes under external fault injection."""
