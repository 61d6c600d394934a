"""The processes that the forwarding measurements drive."""

import time
from multiprocessing.connection import Connection
from random import Random
from typing import Any

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer

from bilberry_core.clock import SystemClock
from bilberry_resources.kinds.services import ServiceSpec, UpstreamSpec
from bilberry_resources.kinds.topology import RegionSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_router.forward.forwarder import Forwarder
from bilberry_router.lookup import VmSelector
from bilberry_router.public_app import PublicApp
from bilberry_router.settings import Settings, decode_settings
from bilberry_router.state import NodeState
from bilberry_steering.block_table import BlockTable
from bilberry_steering.node import NodeSteering

from .load import LoadResult, get_request, read_answer
from .processes import ready, serve

SERVICE = "suivi"
REGION = "mtl"
NODE = "vm-0"
CAPACITY_PER_S = 1_000_000.0
SLOTS = 64
CONNECTIONS = 16
BODY_BYTES = 1_000
CHUNK = b"x" * 65_536
HEAD_END = b"\r\n\r\n"
HEALTH = b'{"state":"ready"}'
LOAD = b'{"slots":9,"in_flight":1,"queued":0,"measured_at_ms":1}'
CONTROL_ANSWERS = {
    b"heal": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(HEALTH), HEALTH),
    b"load": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LOAD), LOAD),
}


def settings() -> Settings:
    """Return the settings of the one node."""
    return decode_settings(
        {
            "node": {"name": NODE, "region": REGION, "failure_domain": "a"},
            "listen": {
                "address": "127.0.0.1:0",
                "admin_address": "127.0.0.1:0",
                "peer_address": "127.0.0.1:0",
            },
            "store": {"url": "http://127.0.0.1:1"},
        }
    ).unwrap()


def serve_node(pipe: Connection, upstreams: list[str]) -> None:
    """Serve the callers' listener of a node with real steering."""
    clock = SystemClock()
    state = NodeState(settings(), clock)
    specs = {
        f"u{index}": UpstreamSpec(
            service=SERVICE,
            region=REGION,
            failure_domain="a",
            address=address,
            slots=SLOTS,
        )
        for index, address in enumerate(upstreams)
    }
    regions = {
        REGION: RegionSpec(
            failure_domains=["a"], capacity_per_s={SERVICE: CAPACITY_PER_S}
        )
    }
    snapshot = ConfigSnapshot(
        version=1,
        regions=regions,
        services={SERVICE: ServiceSpec()},
        upstreams=specs,
    )
    table = BlockTable()
    steering = NodeSteering(NODE, REGION, member_bound=1)
    steering.install_config(snapshot, table, clock.wall_ms())
    state.install(snapshot)
    forwarder = Forwarder(state, steering, clock)
    forwarder.start()
    serve(pipe, PublicApp(VmSelector(state, steering), forwarder))


def serve_bare(pipe: Connection) -> None:
    """Serve a constant answer from the node's own server."""
    body = b"x" * BODY_BYTES

    def application(environ: Any, start_response: Any) -> list[bytes]:
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    serve(pipe, application)


def serve_upstream(pipe: Connection) -> None:
    """Serve constant answers, and large bodies both ways, by hand."""
    server = StreamServer(("127.0.0.1", 0), _serve_connection)
    server.start()
    ready(pipe, server.server_port)
    gevent.get_hub().join()


def _serve_connection(sock: gsocket.socket, address: Any) -> None:
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
    answer = answer_of(BODY_BYTES) + b"x" * BODY_BYTES
    data = b""
    while part := sock.recv(65_536):
        data += part
        head, end, rest = data.partition(HEAD_END)
        if not end:
            continue
        data = _read_body(sock, head, rest)
        if head.startswith((b"GET /health ", b"GET /load ")):
            sock.sendall(CONTROL_ANSWERS[head[5:9]])
        elif head.startswith(b"GET /large/"):
            _send_large(sock, int(head.split(b" ")[1].rpartition(b"/")[2]))
        else:
            sock.sendall(answer)


def answer_of(length: int) -> bytes:
    """Return the head of an answer with a body of `length` bytes."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


def _read_body(sock: gsocket.socket, head: bytes, rest: bytes) -> bytes:
    at = head.lower().find(b"\r\ncontent-length:")
    if at < 0:
        return rest
    left = int(head[at + 17 :].split(b"\r\n", 1)[0]) - len(rest)
    while left > 0:
        left -= len(sock.recv(min(left, 65_536)))
    return b""


def _send_large(sock: gsocket.socket, length: int) -> None:
    sock.sendall(answer_of(length))
    for _ in range(length // len(CHUNK)):
        sock.sendall(CHUNK)
    sock.sendall(CHUNK[: length % len(CHUNK)])


def drive(
    pipe: Connection, port: int, path: str, duration_ms: int, think_ms: float, seed: int
) -> None:
    """Run the load from this process."""
    request = get_request(path)
    ready(pipe, "ready")
    pipe.send(run_paced(("127.0.0.1", port), request, duration_ms, think_ms, seed))


def run_paced(
    address: tuple[str, int],
    request: bytes,
    duration_ms: int,
    think_ms: float,
    seed: int,
) -> LoadResult:
    """Send from all connections, each after a random pause."""
    result = LoadResult()
    begin = time.perf_counter()
    end = begin + duration_ms / 1_000
    workers = [
        gevent.spawn(
            _work, address, request, end, think_ms, Random(seed * 1_000 + i), result
        )
        for i in range(CONNECTIONS)
    ]
    gevent.joinall(workers, raise_error=True)
    result.seconds = time.perf_counter() - begin
    return result


def _work(
    address: tuple[str, int],
    request: bytes,
    end: float,
    think_ms: float,
    rng: Random,
    result: LoadResult,
) -> None:
    sock = gsocket.create_connection(address)
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
    while time.perf_counter() < end:
        if think_ms:
            gevent.sleep(rng.expovariate(1 / think_ms) / 1_000)
        began = time.perf_counter_ns()
        sock.sendall(request)
        if read_answer(sock) is None:
            result.failures += 1
            break
        result.latencies_ms.append((time.perf_counter_ns() - began) / 1e6)
    sock.close()
