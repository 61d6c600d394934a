"""Pack the blocks of a client block set into sorted arrays.

A packed block is one integer made of start address, prefix length and
group, so that a block sorts before the blocks that it contains.
"""

from array import array
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from ipaddress import ip_network

from bilberry_resources.kinds.clients import ClientBlockGroup, ClientBlockSetSpec

IPV4_BITS = 32
IPV6_BITS = 128
GROUP_BITS = 16
LENGTH_BITS = 8
START_SHIFT = GROUP_BITS + LENGTH_BITS
GROUP_MASK = (1 << GROUP_BITS) - 1
LENGTH_MASK = (1 << LENGTH_BITS) - 1
NO_GROUP = GROUP_MASK
MAX_OCTET = 255


@dataclass(slots=True, frozen=True)
class ClientGroup:
    """Represent client blocks with the same region order and site."""

    regions: tuple[str, ...]
    site: str = ""

    @property
    def key(self) -> str:
        """Return the key of the group in plans, built from its regions."""
        return group_key(self.regions)


def group_key(regions: Iterable[str]) -> str:
    """Return the key that groups with this region order share."""
    return ",".join(regions)


@dataclass(slots=True)
class PackedBlocks:
    """Store the groups and the packed, sorted blocks of one set."""

    groups: list[ClientGroup] = field(default_factory=list)
    v4: array = field(default_factory=lambda: array("Q"))
    v6: list[int] = field(default_factory=list)


def pack_blocks(spec: ClientBlockSetSpec) -> PackedBlocks:
    """Return the packed blocks of a set, without invalid prefixes."""
    packed = PackedBlocks()
    v4: list[int] = []
    for index, block_group in enumerate(spec.groups):
        packed.groups.append(_client_group(block_group))
        for prefix in block_group.prefixes:
            value = _pack_v4(prefix, index)
            if value is not None:
                v4.append(value)
            else:
                _pack_any(prefix, index, v4, packed.v6)
    v4.sort()
    packed.v4 = array("Q", v4)
    packed.v6.sort()
    return packed


def flatten_blocks(blocks: Iterable[int], bits: int) -> Iterator[tuple[int, int]]:
    """Yield (start, group) pairs of disjoint ranges.

    Where blocks overlap, the one with the longest prefix applies. `blocks`
    must be sorted; `bits` is the length of an address.
    """
    open_blocks: list[tuple[int, int]] = []
    pending: tuple[int, int] | None = None
    for change in _group_changes(blocks, bits, open_blocks):
        if pending is not None and pending[0] != change[0]:
            yield pending
        pending = change
    if pending is not None and pending[0] < 1 << bits:
        yield pending


def parse_ipv4(text: str) -> int | None:
    """Return a dotted IPv4 address as an integer, None for other text."""
    parts = text.split(".")
    if len(parts) != 4:
        return None
    value = 0
    for part in parts:
        if not (part.isascii() and part.isdigit()) or len(part) > 3:
            return None
        octet = int(part)
        if octet > MAX_OCTET:
            return None
        value = value << 8 | octet
    return value


def _client_group(block_group: ClientBlockGroup) -> ClientGroup:
    return ClientGroup(tuple(block_group.regions), block_group.site or "")


def _pack(start: int, length: int, group: int) -> int:
    return (start << LENGTH_BITS | length) << GROUP_BITS | group


def _pack_v4(prefix: str, group: int) -> int | None:
    address, _, length_text = prefix.partition("/")
    value = parse_ipv4(address)
    length = int(length_text) if length_text.isdigit() else -1
    if value is None or not 0 <= length <= IPV4_BITS:
        return None
    host_bits = IPV4_BITS - length
    return _pack(value >> host_bits << host_bits, length, group)


def _pack_any(prefix: str, group: int, v4: list[int], v6: list[int]) -> None:
    try:
        network = ip_network(prefix, strict=False)
    except ValueError:
        return
    blocks = v4 if network.version == 4 else v6
    blocks.append(_pack(int(network.network_address), network.prefixlen, group))


def _group_changes(
    blocks: Iterable[int], bits: int, open_blocks: list[tuple[int, int]]
) -> Iterator[tuple[int, int]]:
    for block in blocks:
        start = block >> START_SHIFT
        length = block >> GROUP_BITS & LENGTH_MASK
        group = block & GROUP_MASK
        yield from _close_blocks(open_blocks, start)
        yield start, group
        open_blocks.append((start + (1 << (bits - length)), group))
    yield from _close_blocks(open_blocks, 1 << bits)


def _close_blocks(
    open_blocks: list[tuple[int, int]], start: int
) -> Iterator[tuple[int, int]]:
    while open_blocks and open_blocks[-1][0] <= start:
        end, _ = open_blocks.pop()
        yield end, open_blocks[-1][1] if open_blocks else NO_GROUP
