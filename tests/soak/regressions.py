"""Schedules that once broke a promise, kept as they were drawn.

A seed draws another schedule when kinds of faults are added.
"""

from soak.schedule import PlannedFault

# Callers were refused for long: their region had lost its last upstream.
LAST_UPSTREAM_OF_A_REGION = (
    PlannedFault("store-forgets", 564, 2_017, 542_587_089),
    PlannedFault("node-pause", 1_059, 679, 587_736_274),
    PlannedFault("node-reload", 1_665, 2_574, 1_721_037_353),
    PlannedFault("store-cut", 3_079, 624, 2_093_375_977),
    PlannedFault("store-cut", 4_107, 2_099, 2_461_552_813),
    PlannedFault("node-pause", 4_600, 2_149, 2_083_486_416),
    PlannedFault("upstream-drain", 5_179, 581, 1_145_757_506),
    PlannedFault("store-cut", 6_344, 2_169, 3_874_336_640),
    PlannedFault("upstream-pause", 7_220, 965, 1_109_633_622),
    PlannedFault("store-forgets", 7_518, 758, 2_663_601_089),
)

# Upstreams got several times the rate that they named.
RATE_LIMITS_BESIDE_RESTARTS = (
    PlannedFault("rate-limit", 500, 1_000, 1),
    PlannedFault("rate-limit", 700, 1_000, 2),
    PlannedFault("node-stop", 1_500, 1_000, 3),
    PlannedFault("rate-limit", 2_500, 1_000, 4),
    PlannedFault("node-kill", 3_500, 1_000, 5),
)

# A node skipped a version that was written below the revision it knew.
STORE_FROM_A_COPY = (
    PlannedFault("store-restored", 500, 2_000, 1),
    PlannedFault("configuration", 2_800, 1_000, 2),
)

# Requests whose first attempt broke off late were sent to their old home.
BREAKS_BESIDE_SWAPPED_HOMES = (
    PlannedFault("late-breaks", 1_000, 800, 1),
    PlannedFault("configuration", 1_900, 500, 2),
)

# Nodes read each version in full, and were behind by more with each.
LARGE_VERSIONS_IN_A_ROW = tuple(
    PlannedFault("configuration", at_ms, 500, at_ms) for at_ms in range(500, 5_000, 330)
)
