"""Failover of a primary: group records, detection, choice and promotion."""
