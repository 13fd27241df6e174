"""Clock, error kinds, signing, state charts and tasks shared by all packages."""
