"""Client blocks of any number for measurements."""

import ipaddress
import random

from bilberry_resources.kinds.clients import ClientBlockGroup, ClientBlockSetSpec
from bilberry_resources.kinds.services import ServiceSpec
from bilberry_resources.kinds.topology import RegionSpec

REGIONS = ["mtl", "qc", "sag", "lowlands", "highlands", "borders"]
BLOCKS_PER_SET = 50_000
GROUPS_PER_SET = 13
FIRST_BLOCK = int(ipaddress.IPv4Address("11.0.0.0"))
BLOCK_ADDRESSES = 256


def prefix_of(index: int) -> str:
    """Return the prefix of one block."""
    return f"{ipaddress.IPv4Address(FIRST_BLOCK + index * BLOCK_ADDRESSES)}/24"


def block_sets(
    blocks: int, seed: int, regions: list[str] = REGIONS
) -> dict[str, ClientBlockSetSpec]:
    """Return `blocks` /24 prefixes in sets below the store's limit."""
    rng = random.Random(seed)
    sets = {}
    for number, start in enumerate(range(0, blocks, BLOCKS_PER_SET)):
        indexes = list(range(start, min(blocks, start + BLOCKS_PER_SET)))
        rng.shuffle(indexes)
        groups = []
        for part in range(GROUPS_PER_SET):
            order = regions[:]
            rng.shuffle(order)
            prefixes = [prefix_of(i) for i in indexes[part::GROUPS_PER_SET]]
            groups.append(ClientBlockGroup(regions=order, prefixes=prefixes))
        sets[f"blocks-{number}"] = ClientBlockSetSpec(groups=groups)
    return sets


def region_specs() -> tuple[dict[str, RegionSpec], dict[str, ServiceSpec]]:
    """Return six regions and one service they all serve."""
    regions = {
        name: RegionSpec(failure_domains=["d0"], capacity_per_s={"suivi": 1e6})
        for name in REGIONS
    }
    return regions, {"suivi": ServiceSpec()}


def client_addresses(
    count: int, rng: random.Random, blocks: int = 510_000
) -> list[str]:
    """Return addresses inside the blocks."""
    spread = blocks * BLOCK_ADDRESSES
    return [
        str(ipaddress.IPv4Address(FIRST_BLOCK + rng.randrange(spread)))
        for _ in range(count)
    ]
