"""Run an entry node's forwarder between a caller and fake upstreams."""

import socket

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event

from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import SystemClock
from bilberry_resources.routing import (
    CallerLimits,
    PoolConfig,
    RouteRule,
    RoutingConfig,
    WeightedService,
)
from bilberry_router.entry.connections import ConnectionPool
from bilberry_router.entry.forwarder import Forwarder
from bilberry_router.entry.listener import Listener
from bilberry_router.entry.messages import HeaderNames
from bilberry_router.entry.placer import Placer
from bilberry_router.entry.state import EntryState, SharedLimits
from bilberry_testing.machines.upstream import PATH_HEALTH, UpstreamServer

from ...bilberry_balance.placement.common import forbid_waiting

HOST = "shop.example"
NAMES = HeaderNames(
    request_id="X-Id",
    timeout="X-Timeout",
    affinity="X-Key",
    digest="X-Digest",
    expected_upstream="X-Expected",
    load="X-Load",
    not_run="X-Not-Run",
    rate_limit="X-Rate-Limit",
    leaving="X-Leaving",
    upstream_id="X-Upstream",
    workspace="X-Workspace",
)
SHARED_LIMITS = SharedLimits(
    retry_fraction=0.2,
    retry_slack=60,
    retry_window_ms=10_000,
    max_region_shift=0.15,
    stop_grace_ms=6_000,
)


def route(name, prefix, service="s", **fields):
    values = {
        "idempotent": True,
        "timeout_ms": 2_000,
        "target_latency_ms": 500,
        "max_attempts": 2,
        "sticky": True,
    }
    values.update(fields)
    return RouteRule(
        name=name,
        host=HOST,
        path_prefix=prefix,
        services=(WeightedService(service, 1),),
        **values,
    )


ROUTES = (
    route("read", "/read/"),
    route("book", "/book/", idempotent=False),
    route("short", "/short/", timeout_ms=200),
    route("empty", "/empty/", service="none"),
    route("any", "/any/", sticky=False),
)


def config(version=1, routes=ROUTES, limits=None):
    pools = {
        "s": PoolConfig("s", PATH_HEALTH, cold_start_ms=3_000, cold_requests_per_s=6.4)
    }
    return RoutingConfig(version, routes, pools, limits or CallerLimits())


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Client:
    """Send raw HTTP requests to a listener."""

    def __init__(self, address, id_header=NAMES.request_id, source="127.0.0.1"):
        self.id_header = id_header
        host, _, port = address.rpartition(":")
        self.sock = gevent_socket.create_connection(
            (host, int(port)), timeout=20, source_address=(source, 0)
        )
        self.data = b""

    def send(
        self,
        target,
        method="GET",
        request_id="r1",
        body=b"",
        headers=(),
        host=HOST,
    ):
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {host}",
            f"{self.id_header}: {request_id}",
            *headers,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def answer(self):
        """Return the next answer, or None if the connection was closed."""
        while b"\r\n\r\n" not in self.data:
            got = self.sock.recv(65_536)
            if not got:
                return None
            self.data += got
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        length = int(headers.get("content-length", 0))
        while len(self.data) < length:
            self.data += self.sock.recv(65_536)
        body, self.data = self.data[:length], self.data[length:]
        return Answer(int(lines[0].split()[1]), headers, body)

    def reset(self):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()


class Rig:
    """Run a forwarder with its listener and upstreams."""

    def __init__(self, count=2, work_ms=5, slots=4, queue_limit=0):
        self.clock = SystemClock()
        self.state = EntryState(
            "n1", Location("mtl-a", "mtl"), SHARED_LIMITS, self.clock
        )
        self.state.install(config())
        self.placer = Placer(self.state)
        self.connections = ConnectionPool(NAMES.request_id, self.clock)
        self.forwarder = Forwarder(self.state, self.placer, self.connections, NAMES)
        self.listener = Listener(
            "127.0.0.1:0",
            self.forwarder,
            lambda: self.state.limits,
            self.clock,
            self.connections.answer_memory,
        )
        self.upstreams = [
            UpstreamServer(
                f"u{i}",
                NAMES,
                self.clock,
                slots,
                work_ms,
                queue_limit=queue_limit,
            )
            for i in range(count)
        ]

    def __enter__(self):
        for upstream in self.upstreams:
            upstream.start()
            self.register(upstream)
        self.placer.start()
        self.listener.start()
        return self

    def __exit__(self, *exc):
        self.listener.close()
        self.placer.close()
        self.connections.close()
        for upstream in self.upstreams:
            upstream.close()

    def hold(self):
        """Block all upstreams; return the event that releases them."""
        release = Event()
        for upstream in self.upstreams:
            upstream.faults.hold = release
        return release

    def register(self, upstream, draining=False, region="mtl"):
        domain = f"{region}-a"
        spec = UpstreamSpec(
            upstream.name, "s", upstream.address, domain, region, upstream.slots
        )
        known = self.state.upstreams.put(spec, draining)
        if not upstream.queue_limit:
            forbid_waiting(known)
        self.state.selector.ranks.clear()

    @property
    def ran(self):
        return [
            served for upstream in self.upstreams for served in upstream.served_requests
        ]

    @property
    def queued(self):
        return self.placer.queue_length("s")

    def client(self):
        return Client(self.listener.address)

    def ask(self, target, **fields):
        client = self.client()
        client.send(target, **fields)
        return client.answer()


def eventually(check, limit_s=10.0):
    """Wait until `check` returns a true value."""
    with gevent.Timeout(
        limit_s, AssertionError(f"{check} did not hold within {limit_s} s")
    ):
        while not check():
            gevent.sleep(0.005)
