"""Selection of the target that serves a statement."""
