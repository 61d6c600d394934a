"""Test the delayed visibility of the list of VMs."""

from bilberry_testing.platform.messages import Vm, VmUpdate
from bilberry_testing.platform.vms import DelayedVmList


def vm(name):
    return Vm(
        name=name,
        address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        admin_address="127.0.0.1:3",
        region="mtl",
        failure_domain="mtl-a",
        site="mtl-a",
    )


def test_a_list_is_seen_after_its_lag():
    vm_list = DelayedVmList()
    vm_list.set(VmUpdate(items=[vm("a")]), 0)
    vm_list.set(VmUpdate(items=[vm("b")], lag_ms=500), 10)
    assert [v.name for v in vm_list.current(509).items] == ["a"]
    assert [v.name for v in vm_list.current(510).items] == ["b"]
