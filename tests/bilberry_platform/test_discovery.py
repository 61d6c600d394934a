"""Test that nodes follow the store's configuration and upstreams.

This covers outages, lost history, invalid entries and restarts.
"""

import pytest

from bilberry_core.outcome import Failure
from bilberry_fleet.discovery.const import REREGISTRATION_GRACE_MS
from bilberry_platform.store import StoreClient
from bilberry_store.errors import StoreErrorKind

from ..bilberry_router.entry.common import eventually
from .common import Machines, ask, config_spec, entry_of


def names(node):
    return sorted(node.state.upstreams.by_name)


def takes_work(node, name):
    upstream = node.state.upstreams.by_name.get(name)
    return upstream is not None and node.state.upstreams.accepts_requests(upstream)


def test_a_new_version_is_in_force_and_an_older_one_never():
    with Machines() as machines:
        node = machines.node()
        machines.write("config", "main", config_spec(9, [("new", "/new/")]))
        eventually(lambda: ask(node.entry_listener, "/new/x").status == 200)
        machines.write("config", "main", config_spec(4, [("old", "/old/")]))
        machines.write("config", "main", config_spec(10, [("newest", "/newest/")]))
        eventually(lambda: node.state.routes.config.version == 10)
        assert ask(node.entry_listener, "/old/x").status == 404


def test_an_unreadable_version_changes_nothing():
    with Machines() as machines:
        node = machines.node()
        machines.write("config", "main", {"version": 9, "resources": "none"})
        machines.write("evacuations", "mtl-b", {})
        eventually(lambda: node.state.upstreams.evacuated == {"mtl-b"})
        assert ask(node.entry_listener, "/read/x").status == 200


def test_draining_and_removed_upstreams_get_nothing_more():
    with Machines() as machines:
        node = machines.node()
        first, second = machines.upstreams
        machines.register(first, state="draining")
        eventually(lambda: not takes_work(node, "i-0"))
        machines.remove("servers", "i-1")
        eventually(lambda: not takes_work(node, "i-1"))
        assert ask(node.entry_listener, "/read/x").status == 503
        assert first.ran == second.ran == []


def test_an_entry_that_turns_to_nonsense_names_no_upstream():
    with Machines() as machines:
        node = machines.node()
        machines.write("servers", "i-0", "nonsense", "too")
        machines.write("servers", "zz-other", {"address": 3}, None)
        eventually(lambda: names(node) == ["i-1"])
        assert ask(node.entry_listener, "/read/x").status == 200


def test_an_evacuated_domain_gets_nothing_and_comes_back_cold():
    with Machines() as machines:
        node = machines.node()
        machines.write("evacuations", "mtl-a", {})
        eventually(lambda: not takes_work(node, "i-0"))
        assert ask(node.entry_listener, "/read/x").status == 503
        machines.remove("evacuations", "mtl-a")
        eventually(lambda: takes_work(node, "i-0"))
        now_ms = machines.clock.now_ms()
        assert node.state.upstreams.by_name["i-0"].is_cold(now_ms)


def test_a_lost_history_is_made_up_by_a_list():
    with Machines() as machines:
        node = machines.node()
        machines.store.table.delete("servers", "i-0")
        machines.store.table.forget_history()
        machines.store.notify()
        eventually(lambda: names(node) == ["i-1"])


def test_long_lists_come_in_pages():
    with Machines(upstreams=7) as machines:
        machines.store.faults.page_items = 3
        client = StoreClient(machines.store.listener.address, machines.clock)
        snapshot = client.list("servers").unwrap()
        assert len(snapshot.records) == 7
        assert snapshot.revision == machines.store.table.revision
        client.close()


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (429, StoreErrorKind.THROTTLED),
        (503, StoreErrorKind.UNREACHABLE),
        (410, StoreErrorKind.GONE),
        (500, StoreErrorKind.REFUSED),
        (599, StoreErrorKind.REFUSED),
    ],
)
def test_refused_calls_are_told_apart(status, kind):
    with Machines() as machines:
        machines.store.faults.down_status = status
        client = StoreClient(machines.store.listener.address, machines.clock)
        failed = client.list("servers")
        assert isinstance(failed, Failure)
        assert failed.failure().kind is kind
        client.close()


def test_upstreams_are_kept_through_an_outage_in_which_their_entries_lapse():
    with Machines() as machines:
        node = machines.node()
        feed = node.upstream_feed
        feed.on_outage()
        machines.remove("servers", "i-0")
        eventually(lambda: "i-0" in feed.kept_until_ms)
        assert takes_work(node, "i-0")
        machines.register(machines.upstreams[0])
        eventually(lambda: "i-0" not in feed.kept_until_ms)
        feed.expire(machines.clock.now_ms() + REREGISTRATION_GRACE_MS)
        assert takes_work(node, "i-0")


def test_an_upstream_that_does_not_come_back_in_time_is_gone():
    with Machines() as machines:
        node = machines.node()
        feed = node.upstream_feed
        feed.on_outage()
        machines.remove("servers", "i-0")
        eventually(lambda: "i-0" in feed.kept_until_ms)
        feed.expire(machines.clock.now_ms() + REREGISTRATION_GRACE_MS)
        assert names(node) == ["i-1"]


def test_a_restart_under_the_same_name_is_a_new_upstream():
    with Machines() as machines:
        node = machines.node()
        old = node.state.upstreams.by_name["i-0"]
        old.record_key("k", machines.clock.now_ms())
        machines.register(machines.upstreams[0], born=2, cold_s=2.0)
        eventually(lambda: node.state.upstreams.by_name["i-0"] is not old)
        new = node.state.upstreams.by_name["i-0"]
        assert new.is_cold(machines.clock.now_ms())
        assert not new.warm_keys


def test_an_address_that_went_to_another_service_serves_only_that():
    with Machines(upstreams=1) as machines:
        node = machines.node()
        upstream = machines.upstreams[0]
        machines.remove("servers", "i-0")
        machines.write(
            "servers",
            "i-9",
            entry_of(upstream, service="t"),
            {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
        )
        eventually(lambda: names(node) == ["i-9"])
        assert ask(node.entry_listener, "/read/x").status == 503
        assert upstream.ran == []


def test_a_node_writes_its_entry_although_an_answer_was_lost():
    with Machines() as machines:
        machines.store.faults.lose_writes = True
        node = machines.node()
        eventually(lambda: machines.store.table.get("nodes", "n1"))
        machines.store.faults.lose_writes = False
        assert ask(node.entry_listener, "/read/x").status == 200
