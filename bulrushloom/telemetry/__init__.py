"""Logs, metrics and burn rates of the error budgets."""
