"""Traffic steering without I/O: plans, shifts, quotas and routes."""
