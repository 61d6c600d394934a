"""Look up the group of a client address by longest prefix."""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from heapq import merge
from ipaddress import ip_address

from bilberry_resources.kinds.clients import ClientBlockSetSpec

from .client_blocks import (
    GROUP_MASK,
    IPV4_BITS,
    IPV6_BITS,
    NO_GROUP,
    ClientGroup,
    PackedBlocks,
    flatten_blocks,
    group_key,
    pack_blocks,
    parse_ipv4,
)

__all__ = ["BlockTable", "ClientGroup", "group_key", "parse_ipv4"]

V4_LOW_BITS = 16
V4_INDEX_SIZE = 1 << (IPV4_BITS - V4_LOW_BITS)
HALF_BITS = 64
HALF_MASK = (1 << HALF_BITS) - 1


@dataclass(slots=True)
class BlockTable:
    """Store client blocks as sorted disjoint intervals for binary search.

    Interval starts of IPv6 are split into a high and a low 64-bit half.
    `v4_index` maps the upper half of an IPv4 address to the index of the
    first interval that starts there or later.
    """

    groups: list[ClientGroup] = field(default_factory=list)
    keys: list[str] = field(default_factory=list)
    v4_starts: array = field(default_factory=lambda: array("I"))
    v4_groups: array = field(default_factory=lambda: array("H"))
    v4_index: array = field(default_factory=lambda: array("I"))
    v6_high: array = field(default_factory=lambda: array("Q"))
    v6_low: array = field(default_factory=lambda: array("Q"))
    v6_groups: array = field(default_factory=lambda: array("H"))

    @classmethod
    def build(cls, sets: Mapping[str, ClientBlockSetSpec]) -> "BlockTable":
        """Return the table of all block sets; invalid prefixes are skipped."""
        return cls.from_packed(pack_blocks(sets[name]) for name in sorted(sets))

    @classmethod
    def from_packed(cls, packed_sets: Iterable[PackedBlocks]) -> "BlockTable":
        """Return the table of block sets that are already packed."""
        table = cls()
        group_numbers: dict[ClientGroup, int] = {}
        v4: list[Iterator[int]] = []
        v6: list[Iterator[int]] = []
        for packed in packed_sets:
            numbers = [
                group_numbers.setdefault(g, len(group_numbers)) for g in packed.groups
            ]
            v4.append(_renumber_groups(packed.v4, numbers))
            v6.append(_renumber_groups(packed.v6, numbers))
        assert len(group_numbers) < NO_GROUP, "group numbers must fit into 16 bits"
        table.groups = list(group_numbers)
        table.keys = [group.key for group in table.groups]
        table.add_v4_blocks(merge(*v4))
        table.add_v6_blocks(merge(*v6))
        return table

    def add_v4_blocks(self, blocks: Iterable[int]) -> None:
        """Store the IPv4 blocks as disjoint intervals."""
        for start, group in flatten_blocks(blocks, IPV4_BITS):
            if not self.v4_groups or self.v4_groups[-1] != group:
                self.v4_starts.append(start)
                self.v4_groups.append(group)
        starts = self.v4_starts
        for upper in range(V4_INDEX_SIZE + 1):
            self.v4_index.append(bisect_left(starts, upper << V4_LOW_BITS))

    def add_v6_blocks(self, blocks: Iterable[int]) -> None:
        """Store the IPv6 blocks as disjoint intervals."""
        for start, group in flatten_blocks(blocks, IPV6_BITS):
            if not self.v6_groups or self.v6_groups[-1] != group:
                self.v6_high.append(start >> HALF_BITS)
                self.v6_low.append(start & HALF_MASK)
                self.v6_groups.append(group)

    def group_of(self, ip: str) -> ClientGroup | None:
        """Return the group of an address, None if unknown or invalid."""
        value = parse_ipv4(ip)
        if value is not None:
            return self.group_of_v4(value)
        try:
            address = ip_address(ip)
        except ValueError:
            return None
        if address.version == 6 and address.ipv4_mapped is not None:
            return self.group_of_v4(int(address.ipv4_mapped))
        if address.version == 4:
            return self.group_of_v4(int(address))
        return self.group_of_v6(int(address))

    def group_of_v4(self, value: int) -> ClientGroup | None:
        """Return the group of an IPv4 address given as a number."""
        if not self.v4_starts:
            return None
        upper = value >> V4_LOW_BITS
        first, last = self.v4_index[upper], self.v4_index[upper + 1]
        index = bisect_right(self.v4_starts, value, first, last) - 1
        if index < 0:
            return None
        number = self.v4_groups[index]
        return None if number == NO_GROUP else self.groups[number]

    def group_of_v6(self, value: int) -> ClientGroup | None:
        """Return the group of an IPv6 address given as a number."""
        high, low = value >> HALF_BITS, value & HALF_MASK
        first = bisect_left(self.v6_high, high)
        last = bisect_right(self.v6_high, high, lo=first)
        index = bisect_right(self.v6_low, low, lo=first, hi=last) - 1
        if index < 0:
            return None
        number = self.v6_groups[index]
        return None if number == NO_GROUP else self.groups[number]

    def size_bytes(self) -> int:
        """Return the size of the arrays in bytes."""
        arrays = (
            self.v4_starts,
            self.v4_groups,
            self.v4_index,
            self.v6_high,
            self.v6_low,
            self.v6_groups,
        )
        return sum(len(items) * items.itemsize for items in arrays)


def _renumber_groups(blocks: Iterable[int], numbers: list[int]) -> Iterator[int]:
    for block in blocks:
        group = block & GROUP_MASK
        yield block - group + numbers[group]
