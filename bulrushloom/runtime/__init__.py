"""Single-threaded runtime: one selector, timers and tasks made of generators."""
