"""Test fleet nodes under faults, on a simulated clock."""

import msgspec
import pytest

from bench.distribution_driver import Driver
from bench.distribution_members import make_member, vm_item
from bilberry_fleet.messages import ConfigSource, MemberState, PlanRecord
from bilberry_fleet.settings import FleetSettings

IN_FORCE_MS = 16_000
LISTED_SLACK_MS = 1_000
BYTES_PER_S = 5_000
SPEC = {"region": "region-0", "failure_domain": "domain-00"}


def fleet(nodes, regions=3, domains=3, sites=6, settings=None):
    driver = Driver(7, settings or FleetSettings())
    members = [make_member(i, regions, domains, sites) for i in range(nodes)]
    driver.vms = [vm_item(m) for m in members]
    driver.put("site", "s", SPEC)
    for member in members:
        driver.add(member)
    driver.warm_start()
    driver.run(30_000)
    assert all(d.node.ready for d in driver.live())
    return driver


@pytest.fixture
def driver():
    found = fleet(18)
    yield found
    assert sum(d.reverts for d in found.nodes.values()) == 0


def states(driver, name):
    return {
        d.node.membership.roster[name].state
        if name in d.node.membership.roster
        else None
        for d in driver.live()
        if d.name != name
    }


def relays(driver):
    return driver.live()[0].node.membership.all_relays()


def in_force_in_time(driver):
    version = driver.put("site", "x", SPEC)
    return driver.run_until(lambda: driver.have(version), IN_FORCE_MS)


def test_both_relays_of_a_failure_domain_die(driver):
    for name in driver.live()[0].node.membership.relays("domain-00"):
        driver.kill(name)
    assert in_force_in_time(driver)


def test_every_relay_dies(driver):
    for name in relays(driver):
        driver.kill(name)
    assert in_force_in_time(driver)
    driver.run(30_000)
    assert len(relays(driver)) == 6


def test_a_lagging_relay_is_bypassed(driver):
    lagging, twin = driver.live()[0].node.membership.relays("domain-00")
    read_states = driver.nodes[lagging].node.read_schedule.states
    for read_state in read_states.values():
        read_state.in_flight, read_state.catching_up = True, True
    assert in_force_in_time(driver)
    assert driver.nodes[twin].node.is_relay


def test_an_old_replica_reverts_nothing(driver):
    driver.frozen = driver.table.copy()
    driver.wake_watches()
    version = driver.put("site", "x", SPEC)
    for d in driver.live():
        d.node.config.kind_versions["site"] = version
    driver.run(60_000)
    for d in driver.live():
        assert d.node.config_freshness(driver.now).source is not ConfigSource.NONE
    driver.frozen = None
    driver.wake_watches()
    assert in_force_in_time(driver)


def test_an_hour_without_the_store_and_the_recovery(driver):
    driver.set_down(True)
    driver.run(30_000)
    calls = driver.store_calls
    driver.run(60_000)
    per_relay = (driver.store_calls - calls) / 60 / len(relays(driver))
    driver.run(3_510_000)
    assert all(d.node.ready for d in driver.live())
    age_ms = min(
        d.node.config_freshness(driver.now).store_age_ms for d in driver.live()
    )
    assert age_ms >= 3_600_000
    version = driver.put("site", "x", SPEC)
    driver.set_down(False)
    before = driver.store_calls
    assert driver.run_until(lambda: driver.have(version), IN_FORCE_MS)
    assert per_relay <= 0.5
    assert driver.store_calls - before <= len(relays(driver)) * 20


def test_a_node_joins_during_an_outage_and_reports_its_source(driver):
    driver.set_down(True)
    driver.run(120_000)
    peers = [d.node.own.peer_address for d in driver.live()[:3]]
    late = driver.add(make_member(40, 3, 3, 6), peers)
    assert driver.run_until(lambda: late.node.ready, IN_FORCE_MS)
    freshness = late.node.config_freshness(driver.now)
    assert freshness.source is ConfigSource.PEERS
    assert freshness.config_version == driver.table.version
    assert freshness.store_age_ms >= 100_000


def test_a_node_without_store_or_peers_is_not_ready(driver):
    driver.set_down(True)
    lone = driver.add(make_member(40, 3, 3, 6), ["10.9.9.9:7070"])
    driver.run(60_000)
    assert not lone.node.ready
    assert lone.node.config_freshness(driver.now).source is ConfigSource.NONE


def test_a_node_that_restarts_on_an_old_replica_waits_for_its_peers(driver):
    driver.frozen = driver.table.copy()
    version = driver.put("site", "x", SPEC)
    driver.frozen, fresh = None, driver.frozen
    driver.wake_watches()
    assert driver.run_until(lambda: driver.have(version), IN_FORCE_MS)
    driver.frozen = fresh
    peers = [d.node.own.peer_address for d in driver.live()[:3]]
    late = driver.add(make_member(40, 3, 3, 6), peers)
    driver.run_until(lambda: late.node.ready, 60_000)
    assert late.node.ready
    assert late.node.config.version == version


def test_regions_are_partitioned_and_recover(driver):
    driver.cut = lambda a, b: (a.region == "region-1") != (b.region == "region-1")
    driver.store_cut = {"region-1"}
    version = driver.put("site", "x", SPEC)
    driver.run(180_000)
    inside = [d for d in driver.live() if d.node.own.region == "region-1"]
    outside = [d for d in driver.live() if d.node.own.region != "region-1"]
    assert all(d.node.config.version >= version for d in outside)
    assert all(d.node.config.version < version for d in inside)
    for d in outside:
        assert d.node.unreachable(driver.now) == ["domain-01"]
        told = {m.state for m in d.node.members(driver.now) if m.region == "region-1"}
        assert told == {MemberState.SUSPECT}
    relay = next(d for d in outside if d.node.is_relay)
    assert not relay.node.rollout_status(version).is_complete
    driver.cut = lambda a, b: False
    driver.store_cut = set()
    assert driver.run_until(lambda: driver.have(version), IN_FORCE_MS)
    assert driver.run_until(
        lambda: relay.node.rollout_status(version).is_complete, 2 * IN_FORCE_MS
    )


def test_a_region_without_the_store_learns_from_other_regions(driver):
    driver.store_cut = {"region-1"}
    driver.run(60_000)
    assert in_force_in_time(driver)


def test_a_silent_node_is_suspected_before_it_is_removed(driver):
    victim = next(d.name for d in driver.live() if not d.node.is_relay)
    seen = []
    driver.kill(victim)
    for _ in range(60):
        driver.run(500)
        seen += [s for s in states(driver, victim) if s not in seen]
    assert seen[:3] == [MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD]


def test_a_paused_node_returns_with_old_state_and_catches_up(driver):
    victim = next(d for d in driver.live() if not d.node.is_relay)
    victim.paused = True
    driver.run(60_000)
    assert states(driver, victim.name) == {MemberState.DEAD}
    version = driver.put("site", "x", SPEC)
    driver.run(20_000)
    victim.paused = False
    assert driver.run_until(lambda: driver.have(version), IN_FORCE_MS)
    assert driver.run_until(
        lambda: states(driver, victim.name) == {MemberState.LIVE}, 2 * IN_FORCE_MS
    )
    assert victim.node.ready


def test_an_address_is_reused_by_a_new_vm(driver):
    old = next(d for d in driver.live() if not d.node.is_relay)
    driver.kill(old.name)
    member = msgspec.structs.replace(
        old.node.own,
        name="vm-new",
        incarnation=old.node.own.incarnation + 9,
        state=MemberState.JOINING,
    )
    peers = [d.node.own.peer_address for d in driver.live()[:3]]
    driver.add(member, peers)
    assert driver.run_until(
        lambda: states(driver, "vm-new") == {MemberState.LIVE}, 2 * IN_FORCE_MS
    )
    assert states(driver, old.name) <= {MemberState.DEAD}


def test_a_vm_restarts_under_its_name_with_a_clock_behind(driver):
    old = next(d for d in driver.live() if not d.node.is_relay)
    driver.kill(old.name)
    member = msgspec.structs.replace(
        old.node.own, incarnation=5, state=MemberState.JOINING
    )
    peers = [d.node.own.peer_address for d in driver.live()[:3]]
    new = driver.add(member, peers)
    assert driver.run_until(lambda: new.node.ready, IN_FORCE_MS)
    assert new.node.own.incarnation > old.node.own.incarnation
    assert driver.run_until(
        lambda: states(driver, new.name) == {MemberState.LIVE}, 2 * IN_FORCE_MS
    )


def test_the_lagging_vm_list_neither_adds_nor_removes_by_itself(driver):
    driver.vms = driver.vms[:-1]
    dead = driver.live()[3].name
    driver.kill(dead)
    driver.run(120_000)
    assert states(driver, dead) == {MemberState.DEAD}
    unlisted = driver.live()[-1].name
    assert states(driver, unlisted) == {MemberState.LIVE}


def test_a_lost_failure_domain_leaves_the_status_once_unlisted(driver):
    lost = [d.name for d in driver.live() if d.node.own.failure_domain == "domain-01"]
    for name in lost:
        driver.kill(name)
    driver.run(60_000)
    version = driver.put("site", "x", SPEC)
    driver.run(IN_FORCE_MS)
    relay = next(d for d in driver.live() if d.node.is_relay)
    assert not relay.node.rollout_status(version).is_complete
    driver.vms = [vm for vm in driver.vms if vm.name not in lost]
    assert driver.run_until(
        lambda: relay.node.rollout_status(version).is_complete, 120_000
    )


def test_all_vms_are_replaced_one_by_one_while_serving(driver):
    for index, old in enumerate(driver.live()):
        member = make_member(100 + index, 3, 3, 6)
        member = msgspec.structs.replace(
            member,
            region=old.node.own.region,
            failure_domain=old.node.own.failure_domain,
            site=old.node.own.site,
        )
        driver.vms.append(vm_item(member))
        peers = [d.node.own.peer_address for d in driver.live()[-3:]]
        new = driver.add(member, peers)
        assert driver.run_until(lambda new=new: new.node.ready, IN_FORCE_MS)
        old.node.leave(driver.now)
        driver.run(8_000)
        driver.kill(old.name)
        driver.vms = [vm for vm in driver.vms if vm.name != old.name]
        if index % 6 == 0:
            assert in_force_in_time(driver)
        live = [m for m in new.node.members(driver.now) if m.state is MemberState.LIVE]
        assert len(live) >= 15
    driver.run(30_000)
    assert in_force_in_time(driver)
    names = {m.name for m in new.node.members(driver.now) if m.state != "dead"}
    assert names == {d.name for d in driver.live()}


def test_a_plan_reaches_all_nodes_and_an_older_epoch_reaches_none(driver):
    driver.put_plan(2, {"x": 1})
    driver.run(5_000)
    plans = {d.node.plan.order[0] for d in driver.live()}
    assert plans == {2}
    driver.put_plan(1, {"x": 2})
    driver.run(5_000)
    assert {bytes(d.node.plan.current.body) for d in driver.live()} == {b'{"x":1}'}
    held = driver.live()[0].node.plan
    assert not held.apply(PlanRecord(epoch=1, version=99))


def test_bytes_and_store_calls_stay_within_their_budgets():
    rates = []
    for nodes in (48, 96):
        driver = fleet(nodes, regions=3, domains=3, sites=6)
        calls = driver.store_calls
        before = {d.name: d.bytes_sent + d.bytes_received for d in driver.live()}
        driver.run(60_000)
        rates.append((driver.store_calls - calls) / 60)
        for d in driver.live():
            spent = d.bytes_sent + d.bytes_received - before[d.name]
            assert spent / 60 < BYTES_PER_S
    assert rates[1] <= rates[0] * 1.1


def test_a_suspicion_concurrent_with_an_announcement_is_refuted(driver):
    domain = [d for d in driver.live() if d.node.own.failure_domain == "domain-00"]
    member = next(d for d in domain if not d.node.is_relay)
    relay = next(d for d in domain if d.node.is_relay)
    node, roster = member.node, relay.node.membership
    roster.change_state(roster.roster[member.name], MemberState.SUSPECT, driver.now)
    changes = node.membership.change_counts[member.name]
    node.membership.announce(node.own, changes + 1, driver.now)
    node.queue_own_fact()
    assert (
        roster.change_counts[member.name] == node.membership.change_counts[member.name]
    )
    assert driver.run_until(
        lambda: states(driver, member.name) == {MemberState.LIVE}, IN_FORCE_MS
    )


@pytest.mark.parametrize("offset_ms", range(0, 6_000, 500))
def test_a_vm_listed_as_leaving_is_known_whoever_reads_the_list_next(offset_ms):
    settings = FleetSettings(vms_ms=2_000)
    driver = fleet(3, settings=settings)
    leaving = driver.live()[1].name
    assert leaving in relays(driver)
    driver.run(offset_ms)
    driver.list_as_leaving(leaving)
    driver.run(settings.vms_ms + LISTED_SLACK_MS)
    assert states(driver, leaving) == {MemberState.LEAVING}
    assert driver.nodes[leaving].node.own.state is MemberState.LEAVING


def test_a_suspicion_at_the_same_moment_does_not_hide_that_a_vm_leaves(driver):
    name = next(d.name for d in driver.live() if not d.node.is_relay)
    relay = driver.live()[0].node.membership.relays("domain-00")[0]
    roster = driver.nodes[relay].node.membership
    roster.change_state(roster.roster[name], MemberState.SUSPECT, driver.now)
    driver.list_as_leaving(name)
    items = list(driver.vms)
    for reader in relays(driver):
        driver.nodes[reader].node.membership.apply_vm_list(items, [], driver.now)
    assert driver.run_until(
        lambda: states(driver, name) == {MemberState.LEAVING}, LISTED_SLACK_MS
    )


def test_new_relays_do_not_forward_their_partial_plan():
    def own_part(body, name):
        whole = msgspec.json.decode(body)
        return msgspec.Raw(msgspec.json.encode({name: whole.get(name)}))

    driver = fleet(18)
    for d in driver.live():
        d.node.trim_plan = own_part
    driver.put_plan(1, {d.name: 1 for d in driver.live()})
    driver.run(5_000)
    assert any(d.node.plan.is_partial for d in driver.live())
    for name in relays(driver):
        driver.kill(name)
    driver.run(30_000)
    late = driver.add(
        make_member(40, 3, 3, 6), [driver.live()[0].node.own.peer_address]
    )
    driver.run(20_000)
    for d in driver.live():
        if d is not late:
            assert d.name in msgspec.json.decode(d.node.plan.current.body)
        if d.node.is_relay:
            assert not d.node.plan.is_partial
