"""Let requests in progress follow changes of the configuration."""

from bilberry_resources.routing import RouteRule
from bilberry_steering.route_table import RouteEntry

from ..http.const import HEADER_HOST
from ..http.head import RequestHead
from .access import AccessControl
from .active_request import ActiveRequest
from .events import RouteChanged, log_event
from .permits import Permit
from .state import EntryState


class RouteUpdates:
    """Find the rule of a request, when it comes and while it waits.

    A request whose route is dropped meanwhile ends by its last rule, if its
    key still holds.
    """

    __slots__ = ("access", "state")

    def __init__(self, state: EntryState, access: AccessControl) -> None:
        self.state = state
        self.access = access

    def find(self, head: RequestHead) -> RouteEntry | None:
        """Return the route of a request in the newest configuration."""
        return self.state.routes.find(head.first(HEADER_HOST) or "", head.path)

    def is_current(self, active: ActiveRequest) -> bool:
        """Return whether it still may run where its rule lets it run."""
        if active.config_version == self.state.config_version:
            return True
        entry = self.find(active.request.head)
        permit = self.access.decide(
            active.request.head, entry.rule if entry else active.route
        )
        return isinstance(permit, Permit) and _runs_alike(active, permit)

    def apply(self, active: ActiveRequest) -> None:
        """Apply the newest configuration's rule to a request in progress.

        It may be repeated only as far as each of its rules allows.
        """
        version = self.state.config_version
        if active.config_version == version:
            return
        active.config_version = version
        active.hides_key = active.hides_key or self.access.requires_keys()
        entry = self.find(active.request.head)
        if entry is not None:
            active.route = entry.rule
        permit = self.access.decide(active.request.head, active.route)
        if not isinstance(permit, Permit):
            active.denial = permit
            return
        old_rule, old_service = active.rule, active.service
        runs_alike = _runs_alike(active, permit)
        active.rule = permit.rule
        active.workspace = permit.workspace_name
        active.denial = None
        active.idempotent = active.idempotent and permit.rule.idempotent
        active.max_attempts = min(active.max_attempts, permit.rule.max_attempts)
        if entry is not None and not _has_service(permit.rule, active.service):
            active.service = entry.next_service()
        if not runs_alike:
            self._log_change(active, old_rule, old_service)

    def _log_change(
        self, active: ActiveRequest, old_rule: RouteRule, old_service: str
    ) -> None:
        event = RouteChanged(
            route=active.rule.name,
            arrived_version=active.arrived_version,
            config_version=active.config_version,
            waited_ms=self.state.clock.now_ms() - active.request.arrived_ms,
            attempts=active.attempts,
            old_homes=sorted(old_rule.home_regions),
            homes=sorted(active.rule.home_regions),
            old_service=old_service,
            service=active.service,
        )
        log_event(active.request_id, event)


def _runs_alike(active: ActiveRequest, permit: Permit) -> bool:
    """Return whether it may run for whom, and where, it may run now."""
    same_homes = active.rule.home_regions == permit.rule.home_regions
    same_workspace = active.workspace == permit.workspace_name
    return same_homes and same_workspace and _has_service(permit.rule, active.service)


def _has_service(rule: RouteRule, service: str) -> bool:
    return any(part.service == service for part in rule.services)
