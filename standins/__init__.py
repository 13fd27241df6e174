"""Simulators of the platform's services: store, directory and database servers.

Tests and benchmarks run them in place of the real systems. They speak the same
protocols and can inject faults.
"""
