"""Constants of quotas."""

# Requests are counted by parts of time.
PART_MS = 100
# Demand is told for this long; short, as a rise must show early.
RECENT_MS = 500
RECENT_PART_MS = 50
# Over which the usual demand is measured.
USUAL_MS = 8_000
# What is admitted must last until the counts of others are known.
HORIZON_MS = 400
# Of peers in the own failure domain.
MEAN_PEER_AGE_MS = 200
# A source that is silent for longer may have lost the connection.
PEER_SILENT_MS = 1_300
DOMAIN_SILENT_MS = 3_000
# Room for chance, in square roots of the limit: what is unknown is a part of
# the window, so that its deviation is smaller than that of the whole.
CHANCE_MARGIN = 1.3
# Room for a rise before it shows, as a fraction of the limit.
RISE_MARGIN = 0.07
# A number of requests is surely of a demand this many deviations below it.
RISE_DEVIATIONS = 2.4
MIN_USUAL = 0.01
MAX_RISE = 16.0
# Of the limit; assumed as usual demand at least, so that a rise from nothing
# counts at other nodes too.
MIN_USUAL_FRACTION = 0.1
# A rise is told at once when demand is this many times that told before.
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
