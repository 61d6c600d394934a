"""Handle readiness checks and callers' directory queries."""

from collections.abc import Callable
from http import HTTPStatus

from bilberry_steering.nearest import NodeLocation, nearest_nodes
from bilberry_steering.route_table import RouteTable

from ..const import CONTENT_JSON
from ..http.head import RequestHead
from .const import DIRECTORY_TTL_MS, MAX_DIRECTORY_NODES
from .messages import EntryAnswer, EntryRequest, local_answer
from .platform import Platform


class ReadinessHandler:
    """Answer readiness checks of the platform."""

    __slots__ = ("is_ready", "path")

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self.path = path
        self.is_ready = is_ready

    def may_overlap(self, head: RequestHead) -> bool:
        """Return True: checks are independent of each other."""
        return True

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Answer a check."""
        if request.head.path != self.path:
            return local_answer(HTTPStatus.NOT_FOUND, "no such page")
        if self.is_ready():
            return local_answer(HTTPStatus.OK, "ready")
        return local_answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")


class DirectoryHandler:
    """Answer directory queries with the nodes that a caller should use."""

    __slots__ = ("entry_points", "platform", "routes")

    def __init__(
        self,
        platform: Platform,
        routes: RouteTable,
        entry_points: Callable[[], list[NodeLocation]],
    ) -> None:
        self.platform = platform
        self.routes = routes
        self.entry_points = entry_points

    def may_overlap(self, head: RequestHead) -> bool:
        """Return True: queries are independent of each other."""
        return True

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Answer a query."""
        if request.head.path != self.platform.directory_path:
            return local_answer(HTTPStatus.NOT_FOUND, "no such page")
        query = self.platform.decode_query(request.head.query)
        if query is None:
            return local_answer(HTTPStatus.BAD_REQUEST, "the caller's place is missing")
        named = nearest_nodes(
            self.entry_points(),
            query.failure_domain,
            query.region,
            self.routes.home_sets(query.host),
        )
        if not named:
            return local_answer(HTTPStatus.SERVICE_UNAVAILABLE, "no node is ready")
        addresses = [point.address for point in named[:MAX_DIRECTORY_NODES]]
        body = self.platform.encode_addresses(addresses, DIRECTORY_TTL_MS)
        return EntryAnswer(HTTPStatus.OK, [("Content-Type", CONTENT_JSON)], body)
