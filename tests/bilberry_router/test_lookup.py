"""Test which VMs a look-up returns."""

import json

import pytest

from bilberry_fleet.messages import Member, MemberState
from bilberry_resources.kinds.clients import ClientBlockGroup, ClientBlockSetSpec
from bilberry_resources.kinds.services import ServiceSpec
from bilberry_resources.kinds.topology import RegionSpec, SiteSpec, SiteState
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_router.lookup import VmSelector
from bilberry_router.public_app import lookup_arguments
from bilberry_router.state import NodeState
from bilberry_steering.block_table import BlockTable
from bilberry_steering.node import NodeSteering

from .common import make_settings

REGIONS = ("mtl", "qc")


def member(name, region, state=MemberState.LIVE):
    return Member(
        name=name, address=f"{name}:80", region=region, site=f"{name}-site", state=state
    )


@pytest.fixture
def vm_selector(clock):
    state = NodeState(make_settings(), clock)
    steering = NodeSteering("vm-1", "mtl")
    blocks = ClientBlockSetSpec(
        groups=[
            ClientBlockGroup(regions=["qc", "mtl"], prefixes=["10.1.0.0/16"]),
            ClientBlockGroup(
                regions=["mtl", "qc"], prefixes=["10.2.0.0/16"], site="vm-2-site"
            ),
            ClientBlockGroup(regions=["qc", "mtl"], prefixes=["2001:db8::/32"]),
        ]
    )
    snapshot = ConfigSnapshot(
        version=7,
        regions={
            name: RegionSpec(failure_domains=["a"], capacity_per_s={"suivi": 100})
            for name in REGIONS
        },
        services={"suivi": ServiceSpec()},
    )
    table = BlockTable.build({"all": blocks})
    state.install(snapshot)
    steering.install_config(snapshot, table, clock.wall_ms())
    state.set_members(
        [member("vm-1", "mtl"), member("vm-2", "mtl"), member("vm-3", "qc")]
    )
    return VmSelector(state, steering)


def ask(vm_selector, service="suivi", client="10.1.2.3"):
    prepared = vm_selector.answer(service, client)
    return int(prepared.status_line[:3]), json.loads(prepared.body[0])


def names(vm_selector, client):
    return [vm["name"] for vm in ask(vm_selector, client=client)[1]["vms"]]


def test_the_nearest_region_comes_first(vm_selector):
    status, answer = ask(vm_selector)
    assert status == 200
    assert [vm["region"] for vm in answer["vms"]] == ["qc", "mtl", "mtl"]
    assert (answer["service"], answer["config_version"]) == ("suivi", 7)
    assert answer["ttl_ms"] == 5_000


def test_the_nearest_site_comes_first(vm_selector):
    for host in range(20):
        assert names(vm_selector, f"10.2.0.{host}")[0] == "vm-2"


def test_ipv6_clients_have_groups_too(vm_selector):
    assert names(vm_selector, "2001:db8::1")[0] == "vm-3"


def test_clients_without_a_site_spread_over_a_region(vm_selector):
    firsts = {names(vm_selector, f"192.0.2.{host}")[0] for host in range(40)}
    assert firsts == {"vm-1", "vm-2"}


def test_a_leaving_vm_is_never_named(vm_selector):
    vm_selector.state.set_members(
        [member("vm-1", "mtl"), member("vm-3", "qc", MemberState.LEAVING)]
    )
    assert names(vm_selector, "10.1.2.3") == ["vm-1"]


def test_the_vms_of_a_draining_site_are_not_named(vm_selector):
    vm_selector.state.snapshot.sites["vm-3-site"] = SiteSpec(
        region="qc", failure_domain="a", state=SiteState.DRAINING
    )
    assert "vm-3" not in names(vm_selector, "10.1.2.3")


def test_with_no_vm_the_answer_is_503_with_retry_after(vm_selector):
    vm_selector.state.set_members([])
    prepared = vm_selector.answer("suivi", "10.1.2.3")
    assert prepared.status_line.startswith("503")
    headers = dict(prepared.headers)
    assert headers["Retry-After"] == "1"
    assert headers["X-Bilberry-Outcome"] == "not-run"


@pytest.mark.parametrize(
    ("service", "client", "status", "field"),
    [
        ("suivi", "", 400, "client"),
        ("suivi", "10.1", 400, "client"),
        ("suivi", "10.1.2.3/8", 400, "client"),
        ("suivi", "10.1.2.\x00", 400, "client"),
        ("", "10.1.2.3", 400, "service"),
        ("horn", "10.1.2.3", 404, "horn"),
    ],
)
def test_bad_input_is_named(vm_selector, service, client, status, field):
    answered, problem = ask(vm_selector, service, client)
    assert answered == status
    assert field in problem["detail"]


@pytest.mark.parametrize(
    "query",
    [
        "service=suivi&client=2001:db8::1",
        "client=2001:db8::1&service=suivi",
        "service=suivi&client=2001%3Adb8%3A%3A1",
        "x=1&service=suivi&client=2001:db8::1",
        "service=suivi&client=2001:db8::1&x=1",
    ],
)
def test_arguments_are_read_in_any_form(query):
    assert lookup_arguments(query) == ("suivi", "2001:db8::1")
