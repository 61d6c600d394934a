"""Send requests as callers do and store the answers."""

import hashlib
from collections import Counter

import gevent
import msgspec

from bilberry_testing.client import CALL_ERRORS, connect

MAX_ATTEMPTS = 50
RETRY_S = 0.2


class Exchange(msgspec.Struct):
    """Store one request with its answer or error."""

    path: str
    body: bytes
    request_id: str
    status: int = 0
    answer: bytes = b""
    headers: dict[str, str] = {}
    error: str = ""

    @property
    def has_own_answer(self):
        if self.error or self.status != 200:
            return False
        echo = msgspec.json.decode(self.answer)
        digest = hashlib.sha256(self.body).hexdigest()
        found = (echo["path"], echo["request_id"], echo["body_sha256"])
        return found == (self.path, self.request_id, digest)


class PersistentConnection:
    """Send successive requests on one connection."""

    def __init__(self, url, source=None):
        self.url = url
        self.source = source
        self.connection = None

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def exchange(self, service, path, request_id, method="GET", body=b"", headers=()):
        done = Exchange(path.split("?")[0], body, request_id)
        try:
            if self.connection is None:
                self.connection = connect(self.url, 15_000, self.source)
            named = {"X-Request-Id": request_id, **dict(headers)}
            self.connection.request(method, f"/s/{service}{path}", body or None, named)
            response = self.connection.getresponse()
            done.status = response.status
            done.headers = {k.lower(): v for k, v in response.getheaders()}
            done.answer = response.read()
            if done.headers.get("connection", "").lower() == "close":
                self.close()
        except CALL_ERRORS as error:
            done.error = repr(error)
            self.close()
        return done


def exchange_until_run(kept, *arguments):
    """Repeat a request until its answer isn't marked as not run."""
    for _ in range(MAX_ATTEMPTS):
        done = kept.exchange(*arguments)
        if done.headers.get("x-bilberry-outcome") != "not-run":
            return done
        gevent.sleep(RETRY_S)
    return done


class SteadyCallers:
    """Send requests from many addresses until closed."""

    def __init__(self, cluster, service, sources, nodes, gap_ms=10):
        self.cluster = cluster
        self.service = service
        self.sources = sources
        self.nodes = nodes
        self.gap_ms = gap_ms
        self.exchanges = []
        self.greenlets = []
        self.running = False

    @property
    def round_size(self):
        """Return the number of requests from every source to every node."""
        return len(self.sources) * len(self.nodes)

    def start(self):
        self.running = True
        for node in self.nodes:
            self.greenlets.append(gevent.spawn(self.run, node))

    def close(self):
        self.running = False
        gevent.joinall(self.greenlets, timeout=15)

    def run(self, node):
        number = 0
        while self.running:
            source = self.sources[number % len(self.sources)]
            kept = PersistentConnection(self.cluster.url(node), source)
            request_id = f"{node}-{number}"
            path = f"/repairs/{number}"
            self.exchanges.append(kept.exchange(self.service, path, request_id))
            kept.close()
            number += 1
            gevent.sleep(self.gap_ms / 1_000)

    def take(self):
        taken, self.exchanges = self.exchanges, []
        return taken


def regions_of(exchanges):
    return Counter(e.headers.get("x-bilberry-region", "?") for e in exchanges)


def failures(exchanges):
    return [
        (e.path, e.status, e.error, e.answer) for e in exchanges if not e.has_own_answer
    ]
