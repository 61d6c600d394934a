"""Constants of discovery."""

WATCH_WAIT_MS = 8_000
# Peers tell of the changes that such a watch misses.
STALE_WATCH_WAIT_MS = 20_000
# Until a node knows whether it leads its domain.
FIRST_WATCH_WAIT_MS = 3_000
# A feed that peers know to be behind reads again after this time.
CATCH_UP_AFTER_MS = 600
CATCH_UP_WAIT_MS = 1
# So long after a reader was lost, changes may be known late.
SETTLE_MS = 3_000
READERS_OF_LONE_DOMAIN = 2
# A call that fails once doesn't move the duty.
UNABLE_AFTER_MS = 150
# After an outage all nodes can read again within this time.
STEADY_AFTER_MS = 1_000
WATCH_MARGIN_MS = 700
# An answer that has begun to arrive is waited for as long as it goes on.
MAX_ARRIVAL_PAUSE_MS = 1_000
MAX_ARRIVAL_MS = 6_000
LIST_TIMEOUT_MS = 1_500
# Of all pages of a list.
MAX_LIST_BYTES = 32_000_000
WRITE_TIMEOUT_MS = 1_500
# A list that lacks some objects is read again, with growing pauses.
LIST_AGAIN_BASE_MS = 10_000
LIST_AGAIN_MAX_MS = 120_000
# Of the changes since a revision; enough for one object of any size.
MIN_CHANGES_LIMIT_BYTES = 1_200_000
# Changes that are larger than a list, by this factor, are listed in place.
CHANGES_LIMIT_FACTOR = 1.5
BATCH_PAUSE_MS = 300
# Further pause after changes that only renew entries, unless peers know more.
RENEWAL_PAUSE_MS = 200
STALE_RENEWAL_PAUSE_MS = 900
RETRY_BASE_MS = 100
RETRY_MAX_MS = 800
# Failures in a row from which the store counts as out, for all its kinds.
OUTAGE_FAILURES = 2

# Upstreams get this long to register again after a store outage.
REREGISTRATION_GRACE_MS = 2_000
# A store that came back from a copy may list what was removed since.
DEPARTED_MS = 60_000
# Outlasts the time after which the store drops the entry of a silent upstream.
SILENT_ENTRY_MS = 6_000

# Heartbeats within a failure domain get rarer with the number of its nodes.
MIN_HEARTBEAT_MS = 250
MAX_HEARTBEAT_MS = 400
HEARTBEAT_MS_PER_NODE = 16
SAME_DOMAIN_TIMEOUT_MS = 1_300

# Summaries of a failure domain, to the other ones.
SAME_REGION_SUMMARY_MS = 250
OTHER_REGION_SUMMARY_MS = 1_000
# Outlasts the time in which another node takes over as the sender.
SAME_REGION_TIMEOUT_MS = 2_500
OTHER_REGION_TIMEOUT_MS = 3_500
MAX_MISSED_SUMMARIES = 2
# A node listens this long before it speaks for its domain.
LISTEN_MS = 1_500
# A node that starts asks for suspects this long before it is ready.
LEARN_LIMIT_MS = 1_500
LEARN_POLL_MS = 20
# Outlasts the time until all nodes know it.
LEARN_REPEATS = 10
LEARN_INTERVAL_MS = 300
# Summaries describe a node for this long after its first heartbeat.
DETAILS_MS = 6_000
TARGETS_WITHOUT_SUMMARY = 3
MAX_DATAGRAM_BYTES = 60_000
