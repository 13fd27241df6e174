"""Adapter to the users' platform: converts its messages and makes no decisions."""
