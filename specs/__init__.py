"""Promela specifications of the protocols and the script that checks them."""
