"""Registry of resource kinds, and the field types that they share."""

from typing import Annotated

import msgspec

from bilberry_core.registry import Registry

NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveShare = Annotated[float, msgspec.Meta(gt=0, le=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]

SPEC_TYPES: Registry[str, type[msgspec.Struct]] = Registry()


class Spec(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Base class of the specs of all kinds."""
