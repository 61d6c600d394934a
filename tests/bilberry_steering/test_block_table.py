"""Test the look-up of client blocks."""

from ipaddress import ip_address, ip_network

from hypothesis import given
from hypothesis import strategies as st

from bilberry_resources.kinds.clients import ClientBlockGroup, ClientBlockSetSpec
from bilberry_steering.block_table import BlockTable


def table_of(*groups):
    specs = [
        ClientBlockGroup(regions=list(regions), prefixes=list(prefixes), site=None)
        for regions, prefixes in groups
    ]
    return BlockTable.build({"all": ClientBlockSetSpec(groups=specs)})


def test_the_longest_prefix_wins_and_gaps_have_no_group():
    table = table_of(
        (["mtl"], ["10.0.0.0/8", "2001:db8::/32"]),
        (["qc"], ["10.1.0.0/16", "2001:db8:1::/48"]),
        (["sag"], ["10.1.2.0/24", "2001:db8:1::7/128", "255.255.255.255/32"]),
    )
    expected = {
        "10.0.0.1": "mtl",
        "10.1.0.1": "qc",
        "10.1.2.3": "sag",
        "10.1.3.0": "qc",
        "10.2.0.0": "mtl",
        "255.255.255.255": "sag",
        "2001:db8::1": "mtl",
        "2001:db8:1::6": "qc",
        "2001:db8:1::7": "sag",
        "2001:db8:1::8": "qc",
        "2001:db8:2::": "mtl",
        "::ffff:10.1.2.3": "sag",
    }
    for ip, region in expected.items():
        group = table.group_of(ip)
        assert group is not None, ip
        assert group.key == region, ip
    for ip in ("9.255.255.255", "11.0.0.0", "2001:db9::", "no address", "1.2.3"):
        assert table.group_of(ip) is None, ip


PREFIXES = st.lists(
    st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)), min_size=1, max_size=12
)


@given(PREFIXES, st.lists(st.integers(0, 2**32 - 1), max_size=5))
def test_the_table_agrees_with_a_plain_search(prefixes, probes):
    networks = {ip_network((start, size), strict=False) for start, size in prefixes}
    groups = [([f"r{i}"], [str(net)]) for i, net in enumerate(sorted(networks))]
    table = table_of(*groups)
    edges = [int(net.network_address) for net in networks]
    edges += [int(net.broadcast_address) for net in networks]
    for value in [*probes, *edges]:
        address = ip_address(value)
        holding = [n for n in sorted(networks) if address in n]
        found = table.group_of(str(address))
        if not holding:
            assert found is None
            continue
        longest = max(holding, key=lambda net: net.prefixlen)
        assert found is not None
        assert found.key == f"r{sorted(networks).index(longest)}"
