"""Connections to upstreams that are gone don't use up a node's descriptors."""

import errno

import pytest

from bilberry_core.clock import ManualClock, SystemClock
from bilberry_core.outcome import Failure
from bilberry_router.entry import connections as connections_module
from bilberry_router.entry.connections import ConnectionPool, PooledConnection
from bilberry_router.entry.const import DEFAULT_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS
from bilberry_router.forward import transport
from bilberry_router.forward.transport import EndpointConnections

from ...bilberry_platform.common import Deployment, fetch
from .common import Rig, eventually


def no_descriptors(address):
    raise OSError(errno.EMFILE, "Too many open files")


def idle_connection(pool, address, limit_ms):
    connection = PooledConnection(address)
    connection.idle_since_ms = pool.clock.now_ms()
    connection.idle_limit_ms = limit_ms
    pool.idle.setdefault(address, connections_module.deque()).append(connection)
    return connection


def test_expired_connections_are_closed_though_their_address_is_not_used_again():
    """Guard against a descriptor kept for each upstream that was replaced."""
    pool = ConnectionPool("", ManualClock())
    gone = [idle_connection(pool, f"127.0.0.1:{n}", 1_000) for n in (1, 1, 2)]
    kept = idle_connection(pool, "127.0.0.1:3", 2_000)
    pool.clock.advance(1_000)
    pool.close_expired()
    assert [connection.sock.fileno() for connection in gone] == [-1, -1, -1]
    assert kept.sock.fileno() >= 0
    assert list(pool.idle) == ["127.0.0.1:3"]
    pool.close()


def test_a_node_closes_the_connections_of_an_upstream_that_is_gone(monkeypatch):
    monkeypatch.setattr(connections_module, "DEFAULT_IDLE_TIMEOUT_MS", 50)
    with Deployment(upstreams=1) as deployment:
        node = deployment.node()
        assert fetch(node.entry_listener, "/read/x").status == 200
        deployment.remove("servers", "i-0")
        eventually(lambda: not node.connections.idle)


@pytest.mark.parametrize(
    ("header", "limit_ms"),
    [
        ("timeout=5", 4_000),
        ("timeout=86400", MAX_IDLE_TIMEOUT_MS),
        ("timeout=" + "9" * 5_000, DEFAULT_IDLE_TIMEOUT_MS),
        ("timeout=\u00b2", DEFAULT_IDLE_TIMEOUT_MS),
    ],
)
def test_no_upstream_keeps_a_connection_open_for_long(header, limit_ms):
    assert connections_module._idle_limit_ms(header) == limit_ms


def test_a_request_that_finds_no_descriptor_is_refused_as_not_run(monkeypatch):
    """Guard against a 502, and against a search through all upstreams."""
    tried = []

    def count_and_fail(address):
        tried.append(address)
        no_descriptors(address)

    with Rig() as rig:
        monkeypatch.setattr(connections_module, "PooledConnection", count_and_fail)
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert len(tried) == 1
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert not any(u.unreachable for u in rig.state.upstreams.by_name.values())


def test_a_forwarded_request_that_finds_no_descriptor_fails_to_connect(monkeypatch):
    monkeypatch.setattr(transport, "UpstreamConnection", no_descriptors)
    acquired = EndpointConnections("127.0.0.1:1", 4, SystemClock()).acquire(True, 100)
    assert isinstance(acquired, Failure)
