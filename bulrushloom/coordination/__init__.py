"""Deterministic decision objects; also a library that other programs embed."""
