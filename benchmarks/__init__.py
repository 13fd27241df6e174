"""Local fleet, workload, history checker and benchmark."""
