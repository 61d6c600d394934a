"""WSGI application for calls from other nodes."""

from http import HTTPStatus
from typing import Any

from bilberry_fleet.task import FleetTask

from .const import CONTENT_JSON
from .forward.forwarder import Forwarder
from .forward.keyed.peers import PREFIX_KEYED
from .http.messages import Environ, Response, problem_response, read_body, send_response

MAX_PEER_BODY_BYTES = 4_000_000
ENVIRON_HEADER_PREFIX = "HTTP_"


class PeerApp:
    """Route calls from other nodes to the fleet and the forwarder."""

    __slots__ = ("fleet", "forwarder")

    def __init__(self, fleet: FleetTask, forwarder: Forwarder) -> None:
        self.fleet = fleet
        self.forwarder = forwarder

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Answer one call from another node."""
        if environ["PATH_INFO"].startswith(PREFIX_KEYED):
            return self.forwarder.handle_peer(environ, start_response)
        return send_response(self.answer(environ), start_response)

    def answer(self, environ: Environ) -> Response:
        """Return the fleet's response to one call."""
        body = read_body(environ, MAX_PEER_BODY_BYTES)
        if body is None:
            return problem_response(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "over the limit between nodes"
            )
        query = environ.get("QUERY_STRING", "")
        path = environ["PATH_INFO"] + (f"?{query}" if query else "")
        answer = self.fleet.handle(
            environ["REQUEST_METHOD"], path, request_headers(environ), body
        )
        headers = [("Content-Type", CONTENT_JSON), *answer.headers]
        return Response(answer.status, answer.body, headers)


def request_headers(environ: Environ) -> dict[str, str]:
    """Return the request headers, named as in HTTP but in upper case."""
    return {
        name.removeprefix(ENVIRON_HEADER_PREFIX).replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith(ENVIRON_HEADER_PREFIX)
    }
