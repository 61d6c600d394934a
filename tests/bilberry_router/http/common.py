"""HTTP servers for tests, by default with an echo application."""

from contextlib import contextmanager

from bilberry_router.http.limits import Limits
from bilberry_router.http.server import Server
from tests.bilberry_router.forward.common import Caller

LIMITS = Limits(
    max_header_bytes=500,
    max_body_bytes=1_000,
    header_timeout_ms=150,
    body_timeout_ms=150,
    idle_timeout_ms=300,
)


def echo(environ, start_response):
    """Return the request body."""
    body = environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@contextmanager
def listening(application=echo, limits=LIMITS, max_connections=10):
    """Run a server and yield it."""
    server = Server(
        "127.0.0.1:0", application, max_connections=max_connections, limits=limits
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)


@contextmanager
def calling(application=echo, limits=LIMITS, max_connections=10):
    """Run a server and yield a connection to it."""
    with (
        listening(application, limits, max_connections) as server,
        Caller(server.server_port) as caller,
    ):
        yield caller
