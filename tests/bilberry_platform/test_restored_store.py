"""Test that nodes go on rightly with a store that came back older."""

import pytest

from bilberry_testing.machines.objects import config_spec

from ..bilberry_router.entry.common import eventually
from .common import Deployment, fetch

RENEWALS = 40


class RestoredStore(Deployment):
    """Let the store come back from a copy while nodes can't reach it."""

    def __init__(self):
        super().__init__()
        self.store.era = 1
        self.copied = None

    def copy(self):
        self.copied = self.store.table.copy()

    def renew(self, times=RENEWALS):
        for number in range(times):
            self.register(self.upstreams[0], sequence=number + 2)

    def lose_writes(self):
        """Go down, and lose what was written since the copy."""
        self.store.go_down()
        self.store.restore(self.copied)

    def lose_draining(self, node):
        """Let the node see that i-0 drains, and lose that."""
        self.copy()
        self.register(self.upstreams[0], state="draining", sequence=2)
        eventually(lambda: not accepts_requests(node, "i-0"))
        self.lose_writes()

    def come_back(self):
        self.store.come_back()

    def come_back_and_be_listed(self, node):
        """Come back, and wait until the node has listed the copy."""
        self.register(self.upstreams[1], zone="mtl-b")
        self.come_back()
        eventually(lambda: domain_of(node, "i-1") == "mtl-b")


def accepts_requests(node, name):
    upstream = node.state.upstreams.by_name.get(name)
    return upstream is not None and node.state.upstreams.accepts_requests(upstream)


def domain_of(node, name):
    return node.state.upstreams.by_name[name].spec.failure_domain


@pytest.mark.parametrize("renewals", [0, 2 * RENEWALS], ids=["410", "given-out-again"])
def test_a_version_written_to_a_store_that_went_back_is_in_force(renewals):
    with RestoredStore() as deployment:
        node = deployment.node()
        deployment.copy()
        deployment.renew()
        deployment.write("config", "main", config_spec(5))
        eventually(lambda: node.state.routes.config.version == 5)
        deployment.lose_writes()
        deployment.write("config", "main", config_spec(5))
        deployment.write("config", "main", config_spec(9, [("new", "/new/")]))
        deployment.renew(renewals)
        deployment.come_back()
        eventually(lambda: node.state.routes.config.version == 9)
        assert fetch(node.entry_listener, "/new/x").status == 200


def test_a_node_whose_entry_the_store_lost_writes_it_again():
    with RestoredStore() as deployment:
        deployment.copy()
        deployment.node()
        eventually(lambda: deployment.store.table.get("nodes", "n1"))
        deployment.lose_writes()
        deployment.come_back()
        eventually(lambda: deployment.store.table.get("nodes", "n1"))


def test_an_upstream_that_left_gets_nothing_though_the_store_lost_it():
    with RestoredStore() as deployment:
        node = deployment.node()
        deployment.lose_draining(node)
        deployment.come_back_and_be_listed(node)
        assert not accepts_requests(node, "i-0")


def test_an_upstream_that_left_gets_nothing_though_the_copy_is_listed_twice():
    with RestoredStore() as deployment:
        node = deployment.node()
        deployment.lose_draining(node)
        deployment.come_back_and_be_listed(node)
        deployment.store.table.drop_history()
        deployment.register(deployment.upstreams[1], zone="qc-a")
        deployment.store.table.drop_history()
        eventually(lambda: domain_of(node, "i-1") == "qc-a")
        assert not accepts_requests(node, "i-0")


def test_an_upstream_that_was_removed_stays_so_though_the_store_lists_it():
    with RestoredStore() as deployment:
        node = deployment.node()
        deployment.copy()
        deployment.remove("servers", "i-0")
        eventually(lambda: not accepts_requests(node, "i-0"))
        deployment.lose_writes()
        deployment.come_back_and_be_listed(node)
        assert not accepts_requests(node, "i-0")
        deployment.register(deployment.upstreams[0], born=2)
        eventually(lambda: accepts_requests(node, "i-0"))


def test_an_evacuation_that_the_store_lost_holds_until_it_is_written_again():
    with RestoredStore() as deployment:
        node = deployment.node()
        deployment.copy()
        deployment.write("evacuations", "mtl-a", {})
        eventually(lambda: not accepts_requests(node, "i-0"))
        deployment.lose_writes()
        deployment.write("evacuations", "qc-a", {})
        deployment.come_back()
        eventually(lambda: "qc-a" in node.state.upstreams.evacuated)
        assert not accepts_requests(node, "i-0")
        eventually(lambda: accepts_requests(node, "i-0"))
