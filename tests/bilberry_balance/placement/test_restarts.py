"""Nodes know which upstreams ended, and take turns until they are warm."""

from bilberry_balance.placement.const import LATE_ANSWER_MS, RESTART_SHARE_MS
from bilberry_balance.placement.restarts import RestartTracker
from bilberry_resources.routing import PoolConfig

from .common import SERVICE, SelectorPool, spec

COLD_MS = 3_000
POOL = PoolConfig(SERVICE, cold_start_ms=COLD_MS, cold_requests_per_s=6.0)
NOW_MS = 10_000


class Node:
    """One of many nodes, with one upstream."""

    def __init__(self, started_at_ms=1):
        self.pool = SelectorPool(spec("u0", started_at_ms=started_at_ms), nodes=70)
        self.restarts = RestartTracker(self.pool.directory, lambda service: POOL)
        self.upstream = self.pool["u0"]

    def refuse(self, now_ms=NOW_MS, in_flight=1):
        self.upstream.in_flight = in_flight
        self.restarts.on_unreachable(self.upstream, True, now_ms)
        self.upstream.in_flight = 0

    def tell(self, other, now_ms):
        return other.restarts.merge(self.restarts.make_reports(now_ms), now_ms)

    @property
    def has_ended(self):
        return self.upstream.restart.has_ended


def test_an_upstream_that_refused_is_tried_in_turns():
    node = Node()
    node.refuse()
    due_ms = node.upstream.next_cold_send_ms
    assert due_ms > NOW_MS
    assert node.pool.name_of(now_ms=due_ms - 1) == "no room"
    assert node.pool.name_of(now_ms=due_ms) == "u0"


def test_peers_learn_that_an_upstream_has_ended_and_that_it_answers():
    node, peer = Node(), Node()
    node.refuse()
    assert node.tell(peer, NOW_MS + 300) == ["u0"]
    assert peer.has_ended
    peer.restarts.on_answer(peer.upstream, NOW_MS + 500)
    assert peer.tell(node, NOW_MS + 800) == []
    assert not node.has_ended
    assert node.upstream.cold_until_ms == NOW_MS + 500 + COLD_MS


def test_an_older_report_changes_nothing():
    node, peer, third = Node(), Node(), Node()
    node.refuse()
    old = node.restarts.make_reports(NOW_MS + 100)
    node.tell(peer, NOW_MS + 100)
    peer.restarts.on_answer(peer.upstream, NOW_MS + 500)
    assert peer.restarts.merge(old, NOW_MS + 100) == []
    assert not peer.has_ended
    node.tell(third, NOW_MS + 600)
    peer.tell(third, NOW_MS + 600)
    assert not third.has_ended


def test_a_node_that_had_an_answer_since_takes_the_upstream_as_started():
    node, peer = Node(), Node()
    node.refuse()
    peer.restarts.on_answer(peer.upstream, NOW_MS + LATE_ANSWER_MS)
    assert node.tell(peer, NOW_MS + 900) == []
    assert not peer.has_ended
    assert peer.upstream.is_cold(NOW_MS + 900)
    peer.tell(node, NOW_MS + 950)
    assert not node.has_ended


def test_an_answer_that_was_under_way_does_not_hide_the_end():
    node, peer = Node(), Node()
    node.refuse()
    peer.restarts.on_answer(peer.upstream, NOW_MS + LATE_ANSWER_MS - 1)
    assert node.tell(peer, NOW_MS + 900) == ["u0"]


def test_an_upstream_that_works_on_another_request_has_not_ended():
    node = Node()
    node.refuse(in_flight=2)
    assert not node.has_ended
    assert node.upstream.unreachable


def test_a_connect_without_an_answer_shows_no_end():
    node = Node()
    node.restarts.on_unreachable(node.upstream, False, NOW_MS)
    assert not node.has_ended
    assert node.restarts.make_reports(NOW_MS) == []


def test_reports_of_an_earlier_incarnation_are_ignored():
    node, peer = Node(), Node(started_at_ms=2)
    node.refuse()
    assert node.tell(peer, NOW_MS + 300) == []
    assert not peer.has_ended


def test_observations_are_told_for_a_while_only():
    node = Node()
    node.refuse()
    assert node.restarts.make_reports(NOW_MS + RESTART_SHARE_MS - 1)
    assert not node.restarts.make_reports(NOW_MS + RESTART_SHARE_MS)
    assert node.has_ended
