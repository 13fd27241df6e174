"""A local fleet of processes, its workload and history checker, and the benchmarks."""
