"""Decide what a request may do: its workspace, priority and regions."""

from dataclasses import replace
from http import HTTPStatus

from bilberry_balance.authentication import AuthenticationFailure, common_homes
from bilberry_resources.routing import RouteRule, Workspace

from ..http.const import HEADER_AUTHORIZATION
from ..http.head import RequestHead
from .active_request import ActiveRequest
from .answers import refusal_answer, unplaced_answer
from .messages import EntryAnswer, local_answer
from .permits import AccessFailure, Denial, Permit
from .state import EntryState

HEADER_CHALLENGE = "WWW-Authenticate"
CHALLENGE = "Bearer"
DENIED_RETRY_MS = 500


class AccessControl:
    """Authenticate requests, as far as the configuration asks for it."""

    __slots__ = ("state",)

    def __init__(self, state: EntryState) -> None:
        self.state = state

    def decide(self, head: RequestHead, route: RouteRule) -> Permit | Denial:
        """Return what a request on a route may do, or why it may not run."""
        if not route.valid:
            return AccessFailure.INVALID_ROUTE
        if route.public or not self.requires_keys():
            return Permit(route)
        if not self.state.config_proof.is_valid():
            return AccessFailure.OUTDATED_CONFIG
        values = head.fields.get(HEADER_AUTHORIZATION, [])
        workspace = self.state.keys.authenticate(values)
        if isinstance(workspace, AuthenticationFailure):
            return workspace
        return _permit(route, workspace)

    def requires_keys(self) -> bool:
        """Return whether requests need keys, but on public routes."""
        config = self.state.routes.config
        return config is not None and config.requires_keys

    def needs_proof(self) -> bool:
        """Return whether keys are served only by a recent configuration."""
        return self.requires_keys() and self.state.config_proof.revoke_ms > 0

    def may_still_run(self, active: ActiveRequest) -> bool:
        """Return whether the configuration is recent enough for its key."""
        return not active.workspace or self.state.config_proof.is_valid()

    def refuse(self, denial: Denial) -> EntryAnswer:
        """Count a request that has not run and may not; return its answer."""
        self.state.counts.denials[denial.value] += 1
        if isinstance(denial, AuthenticationFailure):
            headers = [(HEADER_CHALLENGE, CHALLENGE)]
            return local_answer(HTTPStatus.UNAUTHORIZED, denial.value, headers)
        return refusal_answer(denial.value, DENIED_RETRY_MS)

    def refuse_unmatched(self) -> EntryAnswer:
        """Return the answer to a request that matches no known route."""
        config = self.state.routes.config
        if config is not None and config.has_unknown_routes:
            return self.refuse(AccessFailure.INVALID_ROUTE)
        return local_answer(HTTPStatus.NOT_FOUND, "no route")

    def refuse_waiting(self, active: ActiveRequest) -> EntryAnswer | None:
        """Return the final answer if it may not run any more, else None."""
        denial = active.denial
        if denial is None:
            if self.may_still_run(active):
                return None
            denial = AccessFailure.OUTDATED_CONFIG
        answer = self.refuse(denial)
        if active.may_have_run or active.upstream_error is not None:
            return unplaced_answer(active, answer.detail, DENIED_RETRY_MS)
        return answer


def _permit(route: RouteRule, workspace: Workspace) -> Permit | AccessFailure:
    homes = common_homes(route, workspace)
    if homes is None:
        return AccessFailure.NO_COMMON_REGION
    priority = route.priority if workspace.priority is None else workspace.priority
    if homes == route.home_regions and priority == route.priority:
        return Permit(route, workspace)
    return Permit(replace(route, home_regions=homes, priority=priority), workspace)
