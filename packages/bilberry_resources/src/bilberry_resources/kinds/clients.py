"""Client address blocks and the regions nearest to them."""

from typing import Annotated

import msgspec

from ..const import KIND_CLIENT_BLOCK_SET
from .registry import KINDS, Name, Spec

Prefix = Annotated[str, msgspec.Meta(max_length=49)]


class BlockGroup(Spec):
    """Group client prefixes with the same nearest regions and site."""

    regions: Annotated[list[Name], msgspec.Meta(min_length=1)]
    prefixes: list[Prefix]
    site: Name | None = None


@KINDS.register(KIND_CLIENT_BLOCK_SET)
class ClientBlockSetSpec(Spec):
    """Map client prefixes to their regions, nearest first."""

    groups: list[BlockGroup]
