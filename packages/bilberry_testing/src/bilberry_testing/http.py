"""Serve typed requests and responses with gevent's WSGI server."""

import errno
import socket
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
from gevent.pywsgi import WSGIServer

from bilberry_resources.codec import encode

from .const import DEFAULT_ADDRESS

CONTENT_TYPE_JSON = "application/json"


class HttpRequest(msgspec.Struct, frozen=True):
    """Represent one request; `path` is decoded, `query` has first values."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header by its case-insensitive name."""
        return self.headers.get(name.lower())


class HttpResponse(msgspec.Struct, frozen=True):
    """Represent one response with a JSON body."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent the body of an error response."""

    title: str
    status: int
    detail: str = ""
    version: int = 0


Handler = Callable[[HttpRequest], HttpResponse]


def json_response(message: Any, status: int = HTTPStatus.OK) -> HttpResponse:
    """Return a response whose body is `message`."""
    return HttpResponse(int(status), encode(message))


def error_response(status: HTTPStatus, detail: str, version: int = 0) -> HttpResponse:
    """Return a response with an error body."""
    return json_response(ErrorBody(status.phrase, int(status), detail, version), status)


def reset_connection() -> None:
    """Close the caller's connection without an answer."""
    raise ConnectionResetError(errno.ECONNRESET, "closed by a fault")


class NoDelayServer(WSGIServer):
    """Serve WSGI with TCP_NODELAY on each accepted socket."""

    def handle(self, sock: Any, address: Any) -> None:
        """Handle one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class HttpServer:
    """Serve HTTP and pass each request to `handler`."""

    __slots__ = ("address", "handler", "port", "server")

    def __init__(
        self, handler: Handler, port: int = 0, address: str = DEFAULT_ADDRESS
    ) -> None:
        self.handler = handler
        self.address = address
        self.port = port
        self.server: NoDelayServer | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}:{self.port}"

    def start(self) -> None:
        """Bind and serve; port 0 is replaced by the bound port."""
        listener = (self.address, self.port)
        self.server = NoDelayServer(listener, self.application, log=None)
        self.server.start()
        self.port = self.server.server_port

    def close(self) -> None:
        """Stop serving and end the open connections."""
        if self.server is not None:
            self.server.stop(timeout=0.1)
            self.server = None

    def application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        response = self.handler(read_request(environ))
        headers = {
            "Content-Type": CONTENT_TYPE_JSON,
            "Content-Length": str(len(response.body)),
            **response.headers,
        }
        status = HTTPStatus(response.status)
        start_response(f"{status.value} {status.phrase}", list(headers.items()))
        return [response.body]


def read_request(environ: dict[str, Any]) -> HttpRequest:
    """Return the request described by a WSGI environment."""
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
    return HttpRequest(
        environ["REQUEST_METHOD"],
        unquote(path),
        {name: values[0] for name, values in query.items()},
        headers,
        environ["wsgi.input"].read(),
    )
