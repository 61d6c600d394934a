"""Client address blocks and the regions nearest to them."""

from typing import Annotated

import msgspec

from ..const import KIND_CLIENT_BLOCK_SET
from .registry import SPEC_TYPES, Name, Spec

ClientPrefix = Annotated[str, msgspec.Meta(max_length=49)]


class ClientBlockGroup(Spec):
    """Group client prefixes with the same nearest regions and site."""

    regions: Annotated[list[Name], msgspec.Meta(min_length=1)]
    prefixes: list[ClientPrefix]
    site: Name | None = None


@SPEC_TYPES.register(KIND_CLIENT_BLOCK_SET)
class ClientBlockSetSpec(Spec):
    """Map client prefixes to their regions, nearest first."""

    groups: list[ClientBlockGroup]
