"""Test which VMs count as departed."""

import pytest

from bilberry_fleet.facts import FactTable
from bilberry_fleet.membership import Membership
from bilberry_fleet.messages import Member, MemberState
from bilberry_fleet.settings import FleetSettings
from bilberry_store.wire import VmItem


@pytest.fixture
def membership():
    own = Member(name="vm-1", failure_domain="a", incarnation=1)
    return Membership(own, FactTable(), FleetSettings())


def add(membership, name, state):
    member = Member(name=name, failure_domain="a", incarnation=1, state=state)
    membership.announce(member, 1, 0)


def test_a_silent_vm_that_is_not_listed_is_gone(membership):
    add(membership, "vm-2", MemberState.DEAD)
    add(membership, "vm-3", MemberState.DEAD)
    membership.apply_vm_list([VmItem(name="vm-1"), VmItem(name="vm-3")], [], 0)
    assert membership.is_departed("vm-2")
    assert not membership.is_departed("vm-3")


def test_a_live_vm_that_is_not_listed_yet_is_not_gone(membership):
    add(membership, "vm-2", MemberState.LIVE)
    membership.apply_vm_list([VmItem(name="vm-1")], [], 0)
    assert not membership.is_departed("vm-2")


def test_an_empty_list_marks_no_vm_as_gone(membership):
    add(membership, "vm-2", MemberState.DEAD)
    membership.apply_vm_list([], [], 0)
    assert not membership.is_departed("vm-2")
