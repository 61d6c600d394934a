"""Run the look-up scenarios."""

from pytest_bdd import parsers, scenarios, then, when

scenarios("features/look_up.feature")


@when(
    parsers.parse("a player near {region} asks which VMs serve {service}"),
    target_fixture="reply",
)
def ask(cluster, region, service):
    return cluster.look_up(service, region)


@when(parsers.parse("the platform lists {name} as leaving"))
def list_as_leaving(cluster, name):
    cluster.leaving.add(name)
    cluster.publish_vms()


@then(parsers.parse("the first VM named is in {region}"))
def first_is_in(reply, region):
    assert reply.status == 200, reply.body
    assert reply.json()["vms"][0]["region"] == region


@then(parsers.parse("the answer may be kept for {ttl_ms:d} ms"))
def check_ttl(reply, ttl_ms):
    assert reply.json()["ttl_ms"] == ttl_ms


@then(parsers.parse("within {limit_ms:d} ms no node names {name}"))
def not_named(cluster, limit_ms, name):
    others = [node for node in cluster.nodes if node != name]

    def names_it(node):
        reply = cluster.look_up("suivi", "mtl", node)
        return name in [vm["name"] for vm in reply.json()["vms"]]

    cluster.until(lambda: not any(names_it(node) for node in others), limit_ms)


@then(parsers.parse("the look-up is answered with {status:d}"))
def check_status(reply, status):
    assert reply.status == status
