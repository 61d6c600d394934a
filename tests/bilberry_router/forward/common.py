"""Scripted upstreams and raw HTTP clients for forwarder tests."""

import socket
from contextlib import contextmanager

import gevent
from gevent import socket as gsocket
from gevent.pool import Pool
from gevent.server import StreamServer

from bilberry_core.clock import SystemClock
from bilberry_resources.kinds.services import ServiceSpec, UpstreamSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_router.forward.forwarder import Forwarder
from bilberry_router.http.limits import Limits
from bilberry_router.http.server import Server
from bilberry_router.settings import (
    ListenSettings,
    NodeSettings,
    SecuritySettings,
    Settings,
    StoreSettings,
)
from bilberry_router.state import NodeState
from bilberry_steering.routing_results import Route

SERVICE = "suivi"
REGION = "mtl"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class UnlimitedSteering:
    """Route everything to one region, without quotas."""

    def __init__(self, regions=(REGION,)):
        self.regions = list(regions)
        self.results = []

    def route(self, service, client_ip, request_hash, now_ms):
        return Route(self.regions[0], self.regions[1:], "g")

    def take_quotas(self, service, region, now_ms):
        return True

    def record_result(self, result, now_ms):
        self.results.append(result)


def settings(name="n1"):
    return Settings(
        security=SecuritySettings(cluster_keys=["0123456789abcdef"]),
        node=NodeSettings(name=name, region=REGION, failure_domain="a"),
        listen=ListenSettings(
            address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
        ),
        store=StoreSettings(url="http://127.0.0.1:1"),
    )


def snapshot_of(addresses, version=1, upstreams=None, **service):
    specs = {
        f"u{index}": UpstreamSpec(
            service=SERVICE,
            region=REGION,
            failure_domain="a",
            address=address,
            slots=100,
            **(upstreams or {}),
        )
        for index, address in enumerate(addresses)
    }
    return ConfigSnapshot(
        version=version, services={SERVICE: ServiceSpec(**service)}, upstreams=specs
    )


class ScriptedUpstream:
    """Serve each connection with a script.

    The script is called with (upstream, socket). `requests` holds the
    requests read by `read_request`, `accepted` counts connections.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.accepted = 0
        self.listen(0)

    def listen(self, port):
        self.server = StreamServer(("127.0.0.1", port), self.serve, spawn=Pool(100))

    def serve(self, sock, address):
        self.accepted += 1
        sock.settimeout(5)
        try:
            self.script(self, sock)
        except OSError:
            return
        finally:
            sock.close()

    def read_request(self, sock):
        """Return a request's head and body, None once the peer closed."""
        data = read_until(sock, b"\r\n\r\n")
        if data is None:
            return None
        head, _, rest = data.partition(b"\r\n\r\n")
        length = content_length(head)
        while len(rest) < length:
            more = sock.recv(65_536)
            if not more:
                return None
            rest += more
        self.requests.append((head, rest))
        return head, rest

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"


def content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def read_until(sock, mark):
    data = b""
    while mark not in data:
        more = sock.recv(65_536)
        if not more:
            return None
        data += more
    return data


def always(answer):
    """Answer each request on a connection with the same bytes."""

    def script(upstream, sock):
        while upstream.read_request(sock) is not None:
            sock.sendall(answer)

    return script


def once(answer):
    """Answer one request, then close."""

    def script(upstream, sock):
        if upstream.read_request(sock) is not None:
            sock.sendall(answer)

    return script


class ForwarderFixture:
    """Run a forwarder with scripted upstreams, optionally polled."""

    def __init__(
        self,
        *scripts,
        limits=None,
        steering=None,
        polls=False,
        name="n1",
        store=None,
        **service,
    ):
        self.polls = polls
        self.clock = SystemClock()
        self.upstreams = [ScriptedUpstream(script) for script in scripts]
        for upstream in self.upstreams:
            upstream.server.start()
        self.state = NodeState(settings(name), self.clock)
        self.addresses = [upstream.address for upstream in self.upstreams]
        self.service = service
        self.install(self.addresses)
        self.steering = steering or UnlimitedSteering()
        self.forwarder = Forwarder(self.state, self.steering, self.clock, store)
        self.server = Server(
            "127.0.0.1:0",
            self.forwarder.forward,
            max_connections=100,
            limits=limits or Limits(),
        )

    def install(self, addresses, **spec):
        version = self.state.snapshot.version + 1
        snapshot = snapshot_of(addresses, version, spec, **self.service)
        self.state.install(snapshot)

    def __enter__(self):
        self.forwarder.endpoints.refresh()
        if self.polls:
            self.forwarder.start()
        self.server.start()
        return self

    def __exit__(self, *error):
        self.server.stop(timeout=0)
        self.forwarder.close()
        for upstream in self.upstreams:
            upstream.server.stop(timeout=0)

    def connect(self):
        return Caller(self.server.server_port)

    def ask(self, method="GET", path="/x", headers=(), body=b""):
        with self.connect() as caller:
            caller.send(method, path, headers, body)
            return caller.answer(method)


class Answer:
    """A received response; `complete` is false if it was cut short."""

    def __init__(self, head, body, complete):
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if head else 0
        pairs = [line.split(": ", 1) for line in lines[1:]]
        self.headers = {name.lower(): value for name, value in pairs}
        self.body = body
        self.complete = complete

    @property
    def outcome(self):
        return self.headers.get("x-bilberry-outcome")


class Caller:
    """Raw HTTP client on one connection."""

    def __init__(self, port):
        self.sock = gsocket.create_connection(("127.0.0.1", port), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.sock.close()

    def send(self, method="GET", path="/x", headers=(), body=b""):
        lines = [f"{method} /s/{SERVICE}{path} HTTP/1.1", "Host: x", *headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join([*lines, "\r\n"]).encode() + body)

    def answer(self, method="GET"):
        head = self.read_until_mark(b"\r\n\r\n")
        if head is None:
            return Answer(b"", b"", False)
        answer = Answer(head, b"", True)
        if method == "HEAD" or answer.status in (204, 304):
            return answer
        if answer.headers.get("transfer-encoding") == "chunked":
            answer.body, answer.complete = self.read_chunks()
        else:
            length = int(answer.headers["content-length"])
            answer.body = self.read_exactly(length)
            answer.complete = len(answer.body) == length
        return answer

    def read_chunks(self):
        body = b""
        while True:
            line = self.read_until_mark(b"\r\n")
            if line is None:
                return body, False
            size = int(line, 16)
            data = self.read_exactly(size + 2)
            if len(data) < size + 2:
                return body + data, False
            if size == 0:
                return body, True
            body += data[:-2]

    def read_until_mark(self, mark):
        while mark not in self.buffer:
            if not self.receive():
                return None
        data, _, self.buffer = self.buffer.partition(mark)
        return data

    def read_exactly(self, count):
        while len(self.buffer) < count and self.receive():
            pass
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def receive(self):
        try:
            data = self.sock.recv(65_536)
        except ConnectionResetError:
            return False
        self.buffer += data
        return bool(data)

    def closed(self):
        """Return whether the peer closes without sending more data."""
        return not self.receive()


@contextmanager
def eventually(seconds=2):
    with gevent.Timeout(seconds):
        yield


def crash_on(path):
    def script(upstream, sock):
        while (request := upstream.read_request(sock)) is not None:
            if path in request[0].split(b"\r\n")[0]:
                return
            sock.sendall(OK)

    return script
