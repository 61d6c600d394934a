"""Keys that were taken away stop to work at nodes as processes."""

import signal
from http import HTTPStatus

import gevent
import pytest
from gevent.pool import Group

from bilberry_platform.const import HEADER_NAMES
from bilberry_router.entry.permits import AccessFailure
from bilberry_testing.client import CALL_ERRORS, call
from soak.deployment import Deployment
from soak.loopback import LoopbackNetwork
from soak.proxy import LinkMode

REVOKE_MS = 3_000
BOUNDS = "strict_revocation = true\nrevoke_s = 3"
KEPT, REMOVED = "kept-key", "removed-key"
CALL_INTERVAL_S = 0.02
CALL_TIMEOUT_MS = 8_000


class Caller:
    """Send requests with one key to one node until closed."""

    def __init__(self, node, key):
        self.node = node
        self.key = key
        self.statuses = set()
        self.refusals = set()
        self.sent = {}
        self.calls = Group()
        self.greenlet = gevent.spawn(self.run)

    def close(self):
        self.greenlet.kill()
        self.calls.kill()

    def run(self):
        while True:
            request_id = f"{self.node.name}-{self.key}-{len(self.sent)}"
            self.sent[request_id] = len(self.sent)
            self.calls.spawn(self.ask, request_id)
            gevent.sleep(CALL_INTERVAL_S)

    def ask(self, request_id):
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {self.key}",
            HEADER_NAMES.request_id: request_id,
        }
        url = f"http://{self.node.front}/read/x"
        try:
            answer = call("GET", url, headers=headers, timeout_ms=CALL_TIMEOUT_MS)
        except CALL_ERRORS:
            return
        self.statuses.add(answer.status)
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.refusals.add(answer.body)


@pytest.fixture
def start_caller():
    """Start callers, and end them with the test."""
    callers = []

    def start(node, key):
        callers.append(Caller(node, key))
        return callers[-1]

    yield start
    for caller in callers:
        caller.close()


@pytest.fixture
def deployment(tmp_path):
    network = LoopbackNetwork()
    running = Deployment(tmp_path, 3, 3, network.number, BOUNDS)
    running.workspaces = {"w": [KEPT, REMOVED]}
    try:
        running.start()
        yield running
    finally:
        running.close()
        network.close()


def remove_key(deployment):
    """Take a key away; return when the store acknowledged it."""
    deployment.workspaces = {"w": [KEPT]}
    deployment.write_config()
    return deployment.clock.now_ms()


def runs_of(deployment, callers, after_ms):
    """Return the runs of these callers' requests that began after a time."""
    ids = {request_id for caller in callers for request_id in caller.sent}
    return [
        run
        for run in deployment.history.runs
        if run.request_id in ids and run.began_ms > after_ms
    ]


def test_a_node_cut_off_from_the_store_stops_to_serve_a_removed_key(
    deployment, start_caller
):
    """Its peers know the newer configuration, and it doesn't."""
    cut_node, other = deployment.nodes[:2]
    callers = [start_caller(cut_node, REMOVED), start_caller(other, REMOVED)]
    kept = start_caller(other, KEPT)
    gevent.sleep(1)
    cut_node.store_link.set_mode(LinkMode.SILENT)
    removed_ms = remove_key(deployment)
    gevent.sleep((REVOKE_MS + 2_000) / 1_000)
    late = runs_of(deployment, callers, removed_ms + REVOKE_MS)
    assert late == []
    assert runs_of(deployment, callers, 0)
    assert runs_of(deployment, [kept], removed_ms + REVOKE_MS)


def test_a_node_that_the_store_turns_away_serves_on_the_proof_of_peers(
    deployment, start_caller
):
    node = deployment.nodes[0]
    caller = start_caller(node, KEPT)
    gevent.sleep(1)
    node.store_link.set_mode(LinkMode.REFUSING)
    cut_ms = deployment.clock.now_ms()
    gevent.sleep(2 * REVOKE_MS / 1_000)
    assert runs_of(deployment, [caller], cut_ms + 1.5 * REVOKE_MS)
    assert AccessFailure.OUTDATED_CONFIG.encode() not in caller.refusals


def test_a_node_that_was_stopped_sends_nothing_with_a_removed_key(
    deployment, start_caller
):
    """Requests were placed, or waited to be read, when it stopped."""
    node = deployment.nodes[0]
    callers = [start_caller(node, REMOVED) for _ in range(4)]
    gevent.sleep(1)
    node.process.send(signal.SIGSTOP)
    removed_ms = remove_key(deployment)
    gevent.sleep((REVOKE_MS + 1_000) / 1_000)
    node.process.send(signal.SIGCONT)
    gevent.sleep(2)
    assert runs_of(deployment, callers, removed_ms + REVOKE_MS) == []
    assert runs_of(deployment, callers, 0)
    assert 401 in callers[0].statuses
