"""Load balancing, admission and idempotency of requests, without I/O."""
