"""Signed message transport between instances."""
