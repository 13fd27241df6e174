"""Logs, metrics and the service-level burn report."""
