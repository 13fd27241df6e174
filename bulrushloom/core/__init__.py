"""Clock, errors, HTTP, signing, state charts and tasks, shared by all packages."""
