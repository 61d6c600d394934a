"""Test polling, and that drained or lost upstreams get no requests."""

import gevent
import pytest

from bilberry_balance.endpoint import HealthState
from bilberry_resources.kinds.services import UpstreamState
from bilberry_router.forward import polling

from .common import OK, ForwarderFixture, eventually


def body(text):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)


class ControllableUpstream:
    """Answer control calls as configured, other requests with 200."""

    def __init__(self):
        self.health = body(b'{"state":"ready"}')
        self.load = body(b'{"slots":9,"in_flight":4,"queued":0,"measured_at_ms":5}')
        self.served = 0

    def __call__(self, upstream, sock):
        while (request := upstream.read_request(sock)) is not None:
            if request[0].startswith(b"GET /health"):
                sock.sendall(self.health)
            elif request[0].startswith(b"GET /load"):
                sock.sendall(self.load)
            else:
                self.served += 1
                sock.sendall(OK)


@pytest.fixture
def fast_polls(monkeypatch):
    monkeypatch.setattr(polling.PollingTask.__init__, "__defaults__", (40,))
    monkeypatch.setattr(polling, "DEFAULT_POLL_TIMEOUT_MS", 50)


def endpoint_of(rig, name="u0"):
    return rig.forwarder.endpoints.pools["suivi", "mtl"].endpoints[name]


def until(check):
    with eventually():
        while not check():
            gevent.sleep(0.005)


def test_health_and_load_reach_the_pool(fast_polls):
    script = ControllableUpstream()
    with ForwarderFixture(script, polls=True) as rig:
        endpoint = endpoint_of(rig)
        until(lambda: endpoint.health is HealthState.READY)
        until(lambda: endpoint.load is not None)
        assert endpoint.load.in_flight == 4
        script.health = body(b'{"state":"warming"}')
        until(lambda: endpoint.health is HealthState.WARMING)
        assert rig.upstreams[0].accepted == 1


def test_draining_upstream_gets_no_new_work(fast_polls):
    first, second = ControllableUpstream(), ControllableUpstream()
    with ForwarderFixture(first, second, polls=True) as rig:
        first.health = body(b'{"state":"draining"}')
        until(lambda: endpoint_of(rig).health is HealthState.DRAINING)
        for _ in range(10):
            assert rig.ask().status == 200
        assert (first.served, second.served) == (0, 10)


def test_upstream_drained_by_configuration_gets_no_new_work():
    first = ControllableUpstream()
    with ForwarderFixture(first) as rig:
        assert rig.ask().status == 200
        rig.install(rig.addresses, state=UpstreamState.DRAINING)
        assert rig.ask().status == 503
        rig.install(rig.addresses)
        assert rig.ask().status == 200
        assert first.served == 2


@pytest.mark.parametrize(
    "health",
    [
        b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
        body(b"{}"),
        body(b'{"state":"odd"}'),
        b"garbage",
        b"",
    ],
)
def test_misleading_health_takes_nothing_out(fast_polls, health):
    script = ControllableUpstream()
    with ForwarderFixture(script, polls=True) as rig:
        script.health = health
        gevent.sleep(0.15)
        assert rig.ask().status == 200


def test_refusing_upstream_is_taken_out_and_comes_back(fast_polls):
    first, second = ControllableUpstream(), ControllableUpstream()
    with ForwarderFixture(first, second, polls=True) as rig:
        endpoint = endpoint_of(rig)
        until(lambda: endpoint.health is HealthState.READY)
        port = rig.upstreams[0].server.server_port
        rig.upstreams[0].server.stop(timeout=0)
        until(lambda: endpoint.health is HealthState.UNREACHABLE)
        rig.upstreams[0].listen(port)
        rig.upstreams[0].server.start()
        until(lambda: endpoint.health is HealthState.READY)
        assert endpoint.slow_start_from_ms is not None


def test_removed_upstream_is_polled_no_more(fast_polls):
    with ForwarderFixture(
        ControllableUpstream(), ControllableUpstream(), polls=True
    ) as rig:
        until(lambda: len(rig.forwarder.polling.pollers) == 2)
        rig.install(rig.addresses[:1])
        until(lambda: len(rig.forwarder.polling.pollers) == 1)
        assert set(rig.forwarder.endpoints.connections) == {"u0"}
