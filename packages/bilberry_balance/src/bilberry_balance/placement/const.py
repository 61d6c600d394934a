"""Constants of upstream selection."""

# Round-trip times until a connect has been measured.
INITIAL_SAME_DOMAIN_MS = 1.0
INITIAL_SAME_REGION_MS = 8.0
INITIAL_OTHER_REGION_MS = 100.0
ROUND_TRIP_WEIGHT = 0.2
# Added to the cost of a request that crosses a boundary, as links are shared.
SAME_REGION_COST_MS = 4.0
OTHER_REGION_COST_MS = 12.0

LOAD_REPORT_TTL_MS = 150
PEER_LOAD_TTL_MS = 2_500
DISTANT_LOAD_WEIGHT = 0.25
MIN_MEAN_LOAD = 0.05
# Pools up to this size are compared whole; of others a sample is taken.
MAX_SCANNED_UPSTREAMS = 24
SAMPLED_IN_OWN_REGION = 12
SAMPLED_IN_OTHER_REGION = 4
BUSY_LOAD = 0.6
LIGHT_LOAD = 0.4
LATE_WAIT_FRACTION = 0.25

# Part of the keys that a short region takes of those that its slots carry. The
# rest of its caches is for objects that come while other regions are full.
KEY_FRACTION_OF_SLOTS = 0.7
# A region that took all keys is short below this fraction of the mean slots.
# One upstream of three may leave, and a rolling release may add as many as one
# region has, before any region counts as short.
SHORT_REGION_RATIO = 0.75

# Fractions of the extra time of a cache miss, added to the cost of a request
# at an upstream other than the first-ranked one, where it evicts an object.
KNOWN_EVICTION_FRACTION = 0.6
NEW_EVICTION_FRACTION = 1.0

WARM_KEY_TTL_MS = 20_000
MAX_WARM_KEYS = 512
PROCESSING_TIME_WEIGHT = 0.05
MAX_OBSERVED_RATIO = 3.0
KNOWN_TARGET_FRACTION = 0.5
FIRST_RANK_TARGET_FRACTION = 0.8
SECOND_RANK_TARGET_FRACTION = 1.2
OTHER_RANK_TARGET_FRACTION = 1.3

SLOW_RATIO_WEIGHT = 0.25
MIN_SLOW_RATIO = 1.6
SLOW_HALF_LIFE_MS = 3_000
MAX_SLOW_RATIO = 20.0
# Longer than the time between two summaries to other regions.
SLOWNESS_SHARE_MS = 2_000
MAX_SLOW_FRACTION = 0.5

# How long machines stay slow. The figure that they tell of it is bounded, so
# that a wrong one neither draws all requests nor repels them for good.
PACE_FADE_MS = 600
MIN_PACE = 0.5
MAX_PACE = 10.0

FAILURES_TO_BLOCK = 3
FIRST_BLOCK_MS = 200
MAX_BLOCK_MS = 1_600
SHEDS_TO_BLOCK = 2
SHED_BLOCK_MS = 500

# Requests that may wait at an upstream, unless it lately shed with fewer.
MAX_WAITING_PER_SLOT = 1
SHED_WAITING_TTL_MS = 5_000

# Outlasts the time in which summaries reach all nodes.
RESTART_SHARE_MS = 2_500
# An answer may arrive this long after its upstream has ended.
LATE_ANSWER_MS = 200

# Nodes that may have joined unnoticed, as a fraction of the known nodes.
UNKNOWN_NODES_FRACTION = 0.6
COLD_PROCESSING_FACTOR = 2.0
COLD_RATE_FRACTION = 0.9

# Time in which a request loses most of its weight in a measured rate.
SEND_RATE_WINDOW_MS = 2_000
# Slower rates are told to nobody.
MIN_SEND_RATE_PER_S = 0.02
# Of an upstream that takes nothing, to learn when it does again.
MIN_RATE_LIMIT_PER_S = 0.2
# Part of a limit that is divided equally among the nodes.
EQUAL_SHARE_FRACTION = 0.2
# A measured rate above the limit by this fraction, and this much, stops all.
MAX_EXCESS_FRACTION = 0.15
MAX_EXCESS_PER_S = 0.25
MIN_ADMITTED = 0.02
# A node that may send more rarely waits no longer for its next turn.
MAX_SEND_INTERVAL_MS = 5_000
# A turn that is used this late doesn't delay the next one.
MAX_LATE_TURN_MS = 200
# After this wait, a key has another chance to use a limited upstream.
ADMISSION_INTERVAL_MS = 500
RATE_LIMIT_SHARE_MS = 2_000

MIN_RETRY_AFTER_MS = 50
# Later return of some callers, as a fraction of the expected wait.
RETRY_AFTER_SPREAD = 0.5

# Of slow upstreams, in one datagram.
MAX_SHARED_REPORTS = 50
