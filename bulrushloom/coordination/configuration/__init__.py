"""Spread and freshness of the rules."""
