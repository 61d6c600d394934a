"""Compare what keeps a booking from running twice.

An owner node that is asked over HTTP, as the product does it, is weighed
against a claim in the store: a conditional create for each booking. Three
nodes, their upstreams and the store run as processes.
"""

import time
from collections.abc import Callable
from http.client import HTTPConnection

from bilberry_core.clock import SystemClock
from bilberry_core.const import HEADER_IDEMPOTENCY_KEY, MS_PER_SECOND
from bilberry_core.ids import new_uuid7
from bilberry_resources.codec import encode
from bilberry_resources.model import Metadata, StoredObject
from bilberry_testing.client import connect
from bilberry_testing.demo.cluster import DemoCluster

from .faults import ready
from .report import Options, Report

QUICK_BOOKINGS = 300
FULL_BOOKINGS = 3_000
SETTLE_S = 2
GAP_S = 0.01
TARGET = "/s/reserve/bookings"
CLAIM_KIND = "bench_claim"

Send = Callable[[str], None]


class Booker:
    """Send bookings to one node on a kept connection."""

    def __init__(self, url: str, keyed: bool) -> None:
        self.connection: HTTPConnection = connect(url)
        self.keyed = keyed
        self.failures = 0

    def send(self, key: str) -> None:
        """Send one booking and count anything but 200."""
        headers = {HEADER_IDEMPOTENCY_KEY: key} if self.keyed else {}
        self.connection.request("POST", TARGET, key.encode(), headers)
        response = self.connection.getresponse()
        response.read()
        self.failures += response.status != 200


class Claimer:
    """Create one object for each booking in the store."""

    def __init__(self, url: str) -> None:
        self.connection: HTTPConnection = connect(url)
        self.failures = 0

    def send(self, key: str) -> None:
        """Create a claim and count anything but 200."""
        claim = StoredObject(kind=CLAIM_KIND, metadata=Metadata(name=key))
        path = f"/objects/{CLAIM_KIND}/{key}"
        self.connection.request("PUT", path, encode(claim), {"If-Match": "0"})
        response = self.connection.getresponse()
        response.read()
        self.failures += response.status != 200


def latencies_ms(sender: Booker | Claimer, count: int) -> list[float]:
    """Return the sorted latencies of `count` calls, one after another."""
    clock = SystemClock()
    taken = []
    for _ in range(count):
        key = new_uuid7(clock)
        began = time.perf_counter()
        sender.send(key)
        taken.append((time.perf_counter() - began) * MS_PER_SECOND)
        time.sleep(GAP_S)
    return sorted(taken)


def run(options: Options) -> Report:
    """Measure each way with one caller."""
    report = Report()
    count = QUICK_BOOKINGS if options.quick else FULL_BOOKINGS
    table = report.table(
        "One caller, bookings of 5 ms service time",
        ["way", "p50 ms", "p99 ms", "store writes a booking", "failures"],
    )
    medians: dict[str, float] = {}
    cluster = DemoCluster()
    try:
        cluster.start()
        ready(cluster)
        time.sleep(SETTLE_S)
        ways: list[tuple[str, Booker | Claimer, int]] = [
            ("booking without a key", Booker(cluster.nodes[0].url, False), 0),
            ("booking with a key", Booker(cluster.nodes[0].url, True), 0),
            ("claim alone, at the stand-in store", Claimer(cluster.store_url), 1),
        ]
        for name, sender, writes in ways:
            taken = latencies_ms(sender, count)
            medians[name] = taken[len(taken) // 2]
            p99 = taken[int(len(taken) * 0.99)]
            table.add(name, medians[name], p99, writes, sender.failures)
    finally:
        cluster.close()
    plain, keyed, claim = medians.values()
    report.summary = (
        f"a key adds {keyed - plain:.2f} ms at p50 with no store call; "
        f"a claim would add {claim:.2f} ms and one write"
    )
    return report
