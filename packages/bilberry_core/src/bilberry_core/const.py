"""Constants shared by all packages."""

MS_PER_SECOND = 1_000
BYTES_PER_MB = 1_000_000

HEADER_OUTCOME = "X-Bilberry-Outcome"
HEADER_UPSTREAM = "X-Bilberry-Upstream"
HEADER_REGION = "X-Bilberry-Region"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_IDEMPOTENCY_REPLAYED = "Idempotency-Replayed"
HEADER_REQUEST_TIMEOUT = "X-Request-Timeout-Ms"
HEADER_REQUEST_ID = "X-Request-Id"
HEADER_NOT_RUN = "X-Not-Run"
HEADER_RETRY_AFTER = "Retry-After"
