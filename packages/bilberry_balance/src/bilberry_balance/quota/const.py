"""Constants of quotas."""

# Requests are counted by parts of time.
PART_MS = 100
# Demand is reported over this time; short, as a rise must show early.
RECENT_MS = 500
RECENT_PART_MS = 50
# Over which the usual demand is measured.
USUAL_MS = 8_000
# Time until the counts of others are known, which the room must last for; a
# heartbeat takes up to 400 ms.
HORIZON_MS = 400
# Mean age of a peer's report in the own failure domain, half of the longest
# interval of heartbeats.
MEAN_PEER_AGE_MS = 200
# A source without reports for longer may have lost the connection. Summaries
# of other regions come once a second.
PEER_TIMEOUT_MS = 1_300
DOMAIN_TIMEOUT_MS = 3_000
# Room for chance, in square roots of the limit: what is unknown is a part of
# the window, so that its deviation is smaller than that of the whole.
CHANCE_MARGIN = 1.3
# Room for a rise before it shows, as a fraction of the limit. Busy nodes
# hear of it later than the intervals of messages tell.
RISE_MARGIN = 0.13
# A rise counts as such if demand is this many standard deviations higher.
RISE_DEVIATIONS = 2.4
MIN_USUAL = 0.01
MAX_RISE = 16.0
# Of the limit; assumed as usual demand at least, so that a rise from nothing
# counts at other nodes too.
MIN_USUAL_FRACTION = 0.1
# A rise is reported at once when demand is this many times the last report.
EARLY_REPORT_FACTOR = 2
EARLY_REPORT_REQUESTS = 2
# Below this fraction of the limit, the next heartbeat is early enough.
EARLY_REPORT_FRACTION = 0.4
# A rise that is to be expected of any workspace, and how long it is unseen.
EXPECTED_RISE = 8.0
EARLY_HORIZON_MS = 300
# Of all nodes in `RECENT_MS`; less cannot use up the room so soon.
MIN_RISKY_USUAL = 1.0
MIN_EARLY_REPORT_MS = 100
MIN_RETRY_AFTER_MS = 100
