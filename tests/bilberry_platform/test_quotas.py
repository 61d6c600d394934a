"""Nodes keep a workspace's quota together."""

from dataclasses import replace

from bilberry_balance.quota.reports import QuotaBounds
from bilberry_testing.machines.objects import config_of, route_spec, workspace_spec

from ..bilberry_router.entry.common import eventually
from .common import Deployment, connect

KEY = "secretkey1"
BOUNDS = QuotaBounds(60_000, 0.0, 0)
# Of 1 request a second in a window of 60 s.
MOST = 60


def config(version):
    limited = workspace_spec("w", [KEY], rate_per_s=1.0, burst=0)
    return config_of(version, [route_spec("read", "/read/"), limited])


def ask_all(node, count):
    client = connect(node.entry_listener)
    statuses = []
    for index in range(count):
        client.send(
            "/read/x",
            request_id=f"{node.state.node}-{index}",
            headers=(f"Authorization: Bearer {KEY}",),
        )
        statuses.append(client.answer().status)
    return statuses


def keep_quotas(node):
    limits = replace(node.state.shared_limits, quota=BOUNDS)
    node.state.set_shared_limits(limits)


def known_used(node):
    reports = node.state.quotas.make_domain_reports(node.clock.now_ms())
    return sum(report.used for report in reports)


def served(deployment):
    return sum(len(upstream.served_requests) for upstream in deployment.upstreams)


def test_nodes_and_domains_count_what_others_ran():
    """Each node would otherwise use the whole quota by itself."""
    with Deployment() as deployment:
        deployment.write("config", "main", config(2))
        near = deployment.node("n1")
        far = deployment.node("n2", "qc-a")
        nodes = [near, far, deployment.node("n3")]
        for node, sources in zip(nodes, (2, 1, 2), strict=True):
            keep_quotas(node)
            quotas = node.state.quotas
            eventually(lambda quotas=quotas: quotas.node_count == 3)
            eventually(lambda q=quotas, n=sources: len(q.sources) == n)
        ran = 0
        for node in nodes:
            statuses = ask_all(node, 40)
            assert set(statuses) <= {200, 429}
            ran += statuses.count(200)
            eventually(lambda: known_used(near) + known_used(far) >= served(deployment))
        assert MOST / 2 <= ran == served(deployment) <= MOST


def test_nodes_tell_nothing_of_quotas_without_the_settings():
    """Earlier deployments pay for no bytes that they don't use."""
    with Deployment() as deployment:
        deployment.write("config", "main", config(2))
        node = deployment.node()
        assert ask_all(node, 5) == [200] * 5
        assert node.membership.make_heartbeat().quotas == []
