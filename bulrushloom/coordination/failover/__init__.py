"""Detection and replacement of a failed primary."""
