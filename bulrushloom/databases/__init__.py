"""Clients and connection pools for database servers."""
