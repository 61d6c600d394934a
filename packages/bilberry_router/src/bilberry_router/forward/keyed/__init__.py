"""Run requests with idempotency keys at most once over all nodes."""
