"""What a request may do, or why it may not run."""

from dataclasses import dataclass
from enum import StrEnum, auto

from bilberry_balance.authentication import AuthenticationFailure
from bilberry_resources.routing import RouteRule, Workspace


class AccessFailure(StrEnum):
    """Enumerate why a request can't be served now, whatever its key."""

    INVALID_ROUTE = auto()
    OUTDATED_CONFIG = auto()
    NO_COMMON_REGION = auto()


Denial = AccessFailure | AuthenticationFailure


@dataclass(slots=True, frozen=True)
class Permit:
    """Represent the rule of a request, as its workspace changes it."""

    rule: RouteRule
    workspace: Workspace | None = None

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty without one."""
        return self.workspace.name if self.workspace else ""
