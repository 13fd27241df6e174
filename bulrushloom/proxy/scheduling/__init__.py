"""Scheduling of the work that runs at a target; no I/O."""
