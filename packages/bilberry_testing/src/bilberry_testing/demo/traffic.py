"""Send the demo's requests and check the answers."""

import hashlib
from collections import Counter
from dataclasses import dataclass, field

import gevent

from bilberry_core.clock import SystemClock
from bilberry_core.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_REGION,
    HEADER_REQUEST_ID,
    MS_PER_SECOND,
)
from bilberry_core.ids import new_uuid7

from ..client import CALL_ERRORS, Reply, call
from .cluster import DemoError, RunningNode

REQUEST_INTERVAL_MS = 10


@dataclass(slots=True)
class Tally:
    """Store counts of answers by region, and failures."""

    regions: Counter[str] = field(default_factory=Counter)
    failures: list[str] = field(default_factory=list)

    @property
    def total(self) -> int:
        """Return how many requests were sent."""
        return self.regions.total() + len(self.failures)

    def share(self, region: str) -> float:
        """Return a region's share of the successful answers, 0 to 1."""
        return self.regions[region] / max(self.regions.total(), 1)

    def clear(self) -> None:
        """Reset the counts."""
        self.regions.clear()
        self.failures.clear()


@dataclass(slots=True)
class Caller:
    """Send requests from many addresses to the nodes in turn."""

    nodes: list[RunningNode]
    service: str
    sources: list[str]
    tally: Tally = field(default_factory=Tally)
    sent: int = 0
    greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to send requests in the background."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop sending."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Send requests with a short gap between them."""
        while True:
            self.get()
            gevent.sleep(REQUEST_INTERVAL_MS / MS_PER_SECOND)

    def get(self) -> None:
        """Send one request and count its answer or failure."""
        node = self.nodes[self.sent % len(self.nodes)]
        source = self.sources[self.sent // len(self.nodes) % len(self.sources)]
        self.sent += 1
        request_id = f"{source}-{self.sent}"
        path = f"/repairs/{self.sent}"
        headers = {HEADER_REQUEST_ID: request_id}
        url = f"{node.url}/s/{self.service}{path}"
        try:
            reply = call("GET", url, None, headers, source=source)
        except CALL_ERRORS as error:
            self.tally.failures.append(f"{path}: {error!r}")
            return
        if reply.status != 200:
            self.tally.failures.append(f"{path}: {reply.status} {reply.body[:200]!r}")
            return
        check_answer(reply, path, request_id, b"")
        self.tally.regions[reply.header(HEADER_REGION) or "?"] += 1


def check_answer(reply: Reply, path: str, request_id: str, body: bytes) -> None:
    """Raise DemoError unless an answer repeats the request sent."""
    echo = reply.json()
    found = (echo["path"], echo["request_id"], echo["body_sha256"])
    wanted = (path, request_id, hashlib.sha256(body).hexdigest())
    if found != wanted:
        raise DemoError(f"an answer for {found} came for {wanted}")
    if reply.header(HEADER_OUTCOME) != "run":
        raise DemoError(f"the outcome is {reply.header(HEADER_OUTCOME)}")


def post_booking(node: RunningNode, body: bytes, key: str | None = None) -> Reply:
    """Send one booking with an idempotency key."""
    headers = {HEADER_IDEMPOTENCY_KEY: key or new_uuid7(SystemClock())}
    return call("POST", f"{node.url}/s/reserve/bookings", body, headers)
