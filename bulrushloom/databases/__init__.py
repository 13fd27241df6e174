"""Clients and connection pools of database servers."""
