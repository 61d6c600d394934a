"""Test fleet tasks over loopback against a simulated platform."""

import json

import msgspec
import pytest

from bilberry_core.outcome import Failure, Success
from bilberry_fleet.events import (
    LeaseAcquired,
    LeaseLost,
    ReportsReceived,
    SharedEntryReceived,
)
from bilberry_fleet.messages import ConfigSource, MemberState, SharedEntry
from bilberry_testing.platform.messages import Faults

from .harness import FleetCluster, drain, wait_for


@pytest.fixture
def cluster():
    found = FleetCluster()
    yield found
    found.close()


def start_nodes(cluster, count, domains=("a",)):
    for index in range(count):
        cluster.add(f"vm-{index}", domains[index % len(domains)])
    for task in cluster.tasks.values():
        task.start()
    wait_for(lambda: all(len(live(t)) == count for t in cluster.tasks.values()))
    return list(cluster.tasks.values())


def live(task):
    return [m.name for m in task.members() if m.state is MemberState.LIVE]


def shared_key(task):
    found = drain(task, SharedEntryReceived)
    assert len(found) <= 1
    return found[0].entry.key if found else None


def planners(cluster):
    return [t for t in cluster.tasks.values() if t.is_planner()]


def test_a_change_is_in_force_everywhere_and_status_says_so(cluster):
    tasks = start_nodes(cluster, 5, ("a", "b"))
    version = cluster.put("x", region="mtl", failure_domain="a").metadata.version
    wait_for(lambda: all(t.node.config.version >= version for t in tasks))
    for task in tasks:
        wait_for(lambda task=task: task.rollout_status(version).is_complete)
        assert task.rollout_status(version).sites_total == 2
        assert not task.rollout_status(version + 1).is_complete


def test_one_planner_publishes_and_hands_over(cluster):
    tasks = start_nodes(cluster, 3)
    wait_for(lambda: len(planners(cluster)) == 1)
    first = planners(cluster)[0]
    epoch = first.lease.machine.epoch
    assert drain(first, LeaseAcquired) == [LeaseAcquired(epoch)]
    assert isinstance(first.publish_plan(b'{"x":1}', epoch), Success)
    wait_for(lambda: all(t.node.plan.current for t in tasks))
    first.leave()
    assert drain(first, LeaseLost) == [LeaseLost(epoch)]
    assert isinstance(first.publish_plan(b"{}", epoch), Failure)
    wait_for(lambda: planners(cluster) not in ([], [first]))
    second = planners(cluster)[0]
    assert second.lease.machine.epoch > epoch
    body = bytes(second.node.plan.current.body)
    assert json.loads(body) == {"x": 1}


def test_reports_and_shared_entries_arrive(cluster):
    tasks = start_nodes(cluster, 4)
    wait_for(lambda: len(planners(cluster)) == 1)
    planner = planners(cluster)[0]
    senders = set()

    def heard_all():
        for task in tasks:
            task.send_report(json.dumps({"from": task.node.own.name}).encode())
        for event in drain(planner, ReportsReceived):
            senders.update(r.sender for r in event.batch.reports)
        return len(senders) == 4

    wait_for(heard_all)
    entry = SharedEntry(
        key="q1", body=msgspec.Raw(b'{"f":"abc"}'), origin="vm-0", ttl_ms=60_000
    )
    tasks[0].share(entry)
    for task in tasks[1:]:
        wait_for(lambda task=task: shared_key(task) == "q1")


def test_a_node_that_starts_in_an_outage_copies_its_peers_state(cluster):
    tasks = start_nodes(cluster, 3)
    version = cluster.put("x", region="mtl", failure_domain="a").metadata.version
    wait_for(lambda: all(t.node.config.version >= version for t in tasks))
    cluster.platform.set_faults(Faults(down=True))
    late = cluster.add("vm-9")
    late.settings.seed_peers = [t.node.own.peer_address for t in tasks]
    late.start()
    wait_for(late.is_ready)
    freshness = late.config_freshness()
    assert freshness.source is ConfigSource.PEERS
    assert freshness.config_version == version
    assert freshness.store_age_ms >= 0


def test_a_dead_node_is_suspected_then_removed_and_its_relay_replaced(cluster):
    tasks = start_nodes(cluster, 4)
    relays = tasks[0].node.membership.relays()
    cluster.stop(relays[0])
    rest = list(cluster.tasks.values())
    wait_for(lambda: all(relays[0] not in live(t) for t in rest))
    version = cluster.put("x", region="mtl", failure_domain="a").metadata.version
    wait_for(lambda: all(t.node.config.version >= version for t in rest))
    wait_for(lambda: all(t.rollout_status(version).is_complete for t in rest))
