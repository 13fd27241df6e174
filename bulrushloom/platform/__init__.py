"""Adapter to the users' platform: translates its messages, decides nothing."""
