"""Bounds on what the clients of one process may use."""
