"""Connections to targets that the instances of a domain share."""
