"""Constants of the entry; times in ms."""

from http import HTTPStatus

MAX_PIPELINED = 16
MAX_CONNECTIONS = 3_000
# Of the process's descriptors, for connections to the entry; the others are
# for upstreams, other nodes and the store.
CALLER_DESCRIPTORS_FRACTION = 0.75
# On top of those, for connections to the other listeners.
AUXILIARY_DESCRIPTORS_FRACTION = 0.1
# Of the callers' connections, for one address; many callers may share one.
ADDRESS_CONNECTIONS_FRACTION = 0.5
# Time for which a caller's system may acknowledge nothing of an answer.
GONE_MS = 5_000
BODY_TIMEOUT_MS = 10_000
CLOSE_LINGER_MS = 500

CONNECT_TIMEOUT_MS = 450
# Time that sent data may stay unacknowledged.
MAX_UNACKNOWLEDGED_MS = 1_000
DEFAULT_IDLE_TIMEOUT_MS = 4_000
IDLE_MARGIN_MS = 1_000
MAX_IDLE_TIMEOUT_MS = 30_000
NON_IDEMPOTENT_IDLE_FRACTION = 0.5
MAX_ANSWER_BYTES = 16_000_000
# Of all answers together; beyond it only small answers are received.
MAX_BUFFERED_BYTES = 32_000_000
# Beyond it no answer is received.
MAX_HELD_BYTES = 64_000_000
SMALL_ANSWER_BYTES = 256_000
# Of the process without the bodies of requests and answers.
MAX_PROCESS_BYTES = 64_000_000
# Of the process, if its settings don't tell.
DEFAULT_MEMORY_BYTES = 200_000_000
# Of the process's memory; beyond it only one long body is held.
SOFT_LIMIT_FRACTION = 0.5
# A body of unknown length is held in parts of this size until it is whole.
BODY_PART_BYTES = 65_536
SMALL_BODY_BYTES = 64_000
# Of the memory for bodies of requests, only for small ones.
SMALL_BODIES_BYTES = 4_000_000
REFUSED_BODY_RETRY_MS = 500
REFUSED_BODY_LINGER_MS = 2_000
MAX_FORWARDED_TIMEOUT_MS = 600_000

# One in this many requests answered in time is logged.
PROMPT_ANSWERS_PER_SAMPLE = 200

# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

QUEUE_POLL_MS = 20
MAX_QUEUE_MISSES = 30
EXPIRY_INTERVAL_MS = 200
# After its start, the peers know a node.
KNOWN_AFTER_MS = 1_200

# Fraction of the operator's retry limits that nodes use. The operator counts
# requests in other windows, of which a node's own may cover three quarters.
RETRY_LIMIT_FRACTION = 0.75

# Assumed until the store has listed the nodes; more than there may be.
UNLISTED_NODES = 1_000

DIRECTORY_TTL_MS = 2_000
MAX_DIRECTORY_NODES = 64

# Time for which a draining node still accepts requests, at most.
DRAIN_SERVE_MS = 2_500
DRAIN_SERVE_FRACTION = 0.45
DRAIN_MARGIN_MS = 300
DRAIN_POLL_MS = 50
# Before a stop, for callers of the auxiliary listeners.
AUXILIARY_FINISH_MS = 400
# Before a stop, in which callers get to know that a request still waits.
LAST_REFUSALS_MS = 400
