"""Stand-in for a replicated database server."""
