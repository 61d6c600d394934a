"""Callers that check what becomes of each of their requests."""

import hashlib
import http.client
import json
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import gevent

from bilberry_core.clock import SystemClock
from bilberry_core.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    MS_PER_SECOND,
)
from bilberry_core.ids import new_uuid7
from bilberry_testing.client import CALL_ERRORS, call, connect
from bilberry_testing.demo.cluster import RunningNode

LOOK_UP_MS = 300
GAP_MS = 20
CALL_TIMEOUT_MS = 12_000
TIMEOUT_MS = "3000"
RESENDS = 2
LARGE_BODY = b"p" * 150_000
RUN = "run"
NOT_RUN = "not-run"
NO_ANSWER = "no answer"


@dataclass(slots=True)
class Sent:
    """Hold one request and what each of its sendings was told."""

    service: str
    method: str
    path: str
    body: bytes
    key: str = ""
    outcomes: list[str] = field(default_factory=list)
    details: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        told = zip(self.outcomes, self.details, strict=True)
        return f"{self.method} {self.path}: {list(told)}"


@dataclass(slots=True)
class Findings:
    """Hold all requests and what went wrong with answers."""

    sent: list[Sent] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    cut_by_stop: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    stopping: dict[str, int] = field(default_factory=dict)


class Caller:
    """Send requests one after another, mostly on kept connections."""

    def __init__(
        self, index: int, seed: int, nodes: list[RunningNode], findings: Findings
    ) -> None:
        self.index = index
        self.rng = Random(seed * 1_000 + index)
        self.nodes = {node.plan.address: node for node in nodes}
        self.findings = findings
        self.clock = SystemClock()
        self.vms: list[str] = list(self.nodes)
        self.looked_up_ms = 0
        self.count = 0
        self.kept: dict[str, Any] = {}
        self.stopped = False

    def run(self) -> None:
        """Send until stopped."""
        while not self.stopped:
            self.send_one()
            gevent.sleep(self.rng.expovariate(1) * GAP_MS / MS_PER_SECOND)

    def send_one(self) -> None:
        """Send one request, and again where its fate is unknown."""
        self.count += 1
        sent = self.next_request()
        self.findings.sent.append(sent)
        tries = 1 + (RESENDS if sent.key else 0)
        for attempt in range(tries):
            self.look_up()
            address = self.vms[(self.count + attempt) % len(self.vms)]
            outcome = self.exchange(self.nodes[address], sent, attempt)
            sent.outcomes.append(outcome)
            self.findings.outcomes[outcome] += 1
            if outcome == RUN:
                return

    def next_request(self) -> Sent:
        """Return a look-up, a booking with or without a key, or a photo."""
        path = f"/c{self.index}/{self.count}"
        body = f"{self.index}-{self.count}".encode()
        choice = self.rng.random()
        if choice < 0.5:
            return Sent("suivi", "GET", path, b"")
        if choice < 0.75:
            return Sent("reserve", "POST", path, body, new_uuid7(self.clock))
        if choice < 0.95:
            return Sent("reserve", "POST", path, body)
        return Sent("suivi", "PUT", path, LARGE_BODY + body)

    def look_up(self) -> None:
        """Ask a node which VMs to use, as often as the TTL asks for."""
        now_ms = self.clock.now_ms()
        if now_ms - self.looked_up_ms < LOOK_UP_MS:
            return
        self.looked_up_ms = now_ms
        for node in list(self.nodes.values()):
            url = f"{node.url}/v1/lookup?service=suivi&client=127.0.1.10"
            try:
                reply = call("GET", url, timeout_ms=CALL_TIMEOUT_MS)
            except CALL_ERRORS:
                continue
            if reply.status == 200:
                self.vms = [vm["address"] for vm in reply.json()["vms"]]
                return

    def exchange(self, node: RunningNode, sent: Sent, attempt: int) -> str:
        """Send once; return the outcome that the caller was told."""
        name = node.plan.name
        request_id = f"{sent.path}-{attempt}"
        headers = {
            HEADER_REQUEST_ID: request_id,
            "X-Request-Timeout-Ms": TIMEOUT_MS,
        }
        if sent.key:
            headers[HEADER_IDEMPOTENCY_KEY] = sent.key
        try:
            connection = self.kept.pop(name, None) or connect(node.url, CALL_TIMEOUT_MS)
            target = f"/s/{sent.service}{sent.path}"
            connection.request(sent.method, target, sent.body or None, headers)
            response = connection.getresponse()
            content = response.read()
        except CALL_ERRORS as error:
            if name in self.findings.stopping:
                after_ms = self.clock.now_ms() - self.findings.stopping[name]
                self.findings.cut_by_stop.append(
                    f"{sent.path} at {name} after {after_ms} ms: {error!r}"
                )
            sent.details.append(f"{name}: {error!r}")
            return NO_ANSWER
        sent.details.append(f"{name}: {response.status} {content[:120]!r}")
        self.keep(name, connection, response)
        outcome = response.headers.get(HEADER_OUTCOME, "")
        if outcome == RUN:
            self.check(sent, response, content, request_id, attempt)
        return outcome

    def keep(
        self, name: str, connection: Any, response: http.client.HTTPResponse
    ) -> None:
        """Keep the connection for the next request, if the node allows."""
        if response.will_close or self.rng.random() < 0.1:
            connection.close()
        else:
            self.kept[name] = connection

    def check(
        self,
        sent: Sent,
        response: http.client.HTTPResponse,
        content: bytes,
        request_id: str,
        attempt: int,
    ) -> None:
        """Compare an upstream's answer with the request."""
        if response.status != 200:
            return
        found = _echo(content)
        digest = hashlib.sha256(sent.body).hexdigest()
        replayed = response.headers.get("Idempotency-Replayed") == "true"
        wanted = (sent.path, digest)
        if (found.get("path"), found.get("body_sha256")) != wanted:
            self.findings.wrong.append(f"{sent.path}: {content[:100]!r}")
        elif not replayed and found.get("request_id") != request_id:
            self.findings.wrong.append(f"{sent.path}: answer to another sending")
        if response.headers.get(HEADER_REQUEST_ID) != request_id:
            self.findings.wrong.append(f"{sent.path}: another request id")

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self.kept.values():
            connection.close()


def _echo(content: bytes) -> dict[str, Any]:
    try:
        found = json.loads(content)
    except ValueError:
        return {}
    return found if isinstance(found, dict) else {}
