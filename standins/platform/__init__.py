"""Simulated platform: network, database groups and store on a simulated clock."""
