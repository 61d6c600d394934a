"""WSGI application for callers."""

from typing import Any
from urllib.parse import parse_qsl

from .const import PATH_LOOKUP, PREFIX_FORWARD
from .forward.forwarder import Forwarder
from .http.messages import Environ, problem_response, send_prepared, send_response
from .lookup import VmSelector

ARG_SERVICE = "service"
ARG_CLIENT = "client"


class PublicApp:
    """Serve look-ups and forward requests to upstreams."""

    __slots__ = ("forwarder", "vm_selector")

    def __init__(self, vm_selector: VmSelector, forwarder: Forwarder) -> None:
        self.vm_selector = vm_selector
        self.forwarder = forwarder

    def __call__(self, environ: Environ, start_response: Any) -> Any:
        """Answer one request."""
        path: str = environ["PATH_INFO"]
        if path == PATH_LOOKUP:
            return self.look_up(environ, start_response)
        if path.startswith(PREFIX_FORWARD):
            return self.forwarder.forward(environ, start_response)
        return send_response(problem_response(404, f"no path {path}"), start_response)

    def look_up(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Answer a look-up."""
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            answer = problem_response(405, "a look-up is a GET")
            return send_response(answer, start_response)
        service, client = lookup_arguments(environ["QUERY_STRING"])
        return send_prepared(self.vm_selector.answer(service, client), start_response)


def lookup_arguments(query: str) -> tuple[str, str]:
    """Return the service and the client address of a look-up query.

    The usual form without escapes is parsed without the full decoder.
    """
    if "%" not in query and "+" not in query:
        first, _, second = query.partition("&")
        name, _, service = first.partition("=")
        other, _, client = second.partition("=")
        if name == ARG_SERVICE and other == ARG_CLIENT and "&" not in client:
            return service, client
    arguments = dict(parse_qsl(query))
    return arguments.get(ARG_SERVICE, ""), arguments.get(ARG_CLIENT, "")
