"""Known instances of the fleet, and target ownership."""
