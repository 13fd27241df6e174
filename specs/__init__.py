"""Model of the core protocol and its checker."""
