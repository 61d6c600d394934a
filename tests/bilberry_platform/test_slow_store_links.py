"""Nodes read a configuration that takes its time to arrive."""

import pytest

from bilberry_fleet.discovery.read_progress import ReadProgress
from bilberry_platform.store import StoreClient
from bilberry_store.errors import StoreErrorKind
from bilberry_testing.machines.objects import config_of, route_spec
from soak.proxy import LinkMode, LinkProxy

from ..bilberry_router.entry.common import eventually
from .common import Deployment

ROUTES = 1_400
# Such a configuration takes over 2 s, each part of it 120 ms.
PART_DELAY_MS = 120
# A follower begins to read once the leader has read it all.
FOLLOWER_LIMIT_S = 20


def large_config(version):
    routes = [route_spec(f"r{i}", f"/v{version}-{i}/") for i in range(ROUTES)]
    return config_of(version, routes)


class SlowLinks(Deployment):
    """Let the nodes reach the store by a slow link."""

    def __enter__(self):
        super().__enter__()
        self.link = LinkProxy("127.0.0.1", self.store.listener.address)
        self.link.start()
        self.store_address = self.link.address
        return self

    def __exit__(self, *exc):
        super().__exit__(*exc)
        self.link.close()

    def slow_down(self):
        self.link.set_mode(LinkMode.SLOW, PART_DELAY_MS)


def has_version(node, version):
    config = node.state.routes.config
    return config is not None and config.version == version


def test_a_node_starts_with_a_configuration_that_arrives_slowly():
    with SlowLinks() as deployment:
        deployment.write("config", "main", large_config(3))
        deployment.slow_down()
        node = deployment.node(ready=False)
        eventually(lambda: has_version(node, 3))


@pytest.mark.parametrize("stale_reads", [False, True], ids=["fresh", "stale"])
def test_nodes_get_a_new_configuration_that_arrives_slowly(stale_reads):
    with SlowLinks() as deployment:
        deployment.store.faults.stale_reads = stale_reads
        nodes = [deployment.node(name) for name in ("n1", "n2")]
        eventually(lambda: all(len(node.membership.peers.peers) for node in nodes))
        deployment.slow_down()
        deployment.write("config", "main", large_config(3))
        eventually(
            lambda: all(has_version(node, 3) for node in nodes), FOLLOWER_LIMIT_S
        )


def lists_of_config(deployment):
    return deployment.store.calls.count("GET /objects/config")


def test_a_node_reads_only_the_newest_of_many_large_versions():
    with SlowLinks() as deployment:
        node = deployment.node()
        deployment.link.set_mode(LinkMode.REFUSING)
        lists = lists_of_config(deployment)
        for version in range(3, 12):
            deployment.write("config", "main", large_config(version))
        deployment.link.set_mode(LinkMode.OPEN)
        eventually(lambda: has_version(node, 11))
        assert lists_of_config(deployment) == lists + 1


def test_an_answer_that_announces_too_much_is_given_up():
    with Deployment() as deployment:
        client = StoreClient(deployment.store_address, deployment.clock)
        progress = ReadProgress(deployment.clock)
        progress.limit_bytes = 100
        revision = deployment.store.table.revision
        deployment.write("config", "main", large_config(3))
        failed = client.watch("config", revision, 1, False, progress)
        assert failed.failure().kind is StoreErrorKind.TOO_LARGE
        client.close()
