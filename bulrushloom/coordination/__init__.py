"""Deterministic state machines of the coordination protocols.

They perform no I/O, so other programs can embed them as a library.
"""
