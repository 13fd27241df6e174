"""Choice of the target that serves a statement."""
