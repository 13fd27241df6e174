"""Majority acknowledgement of writes."""
