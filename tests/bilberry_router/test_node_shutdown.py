"""A shutdown finishes the calls of operators and of other nodes."""

import gevent
import pytest

from bilberry_router.node import Node

from .common import make_settings
from .forward.common import Caller

BODY = b"done"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
# Longer than the node itself takes to stop.
CALL_S = 0.6


def slow(environ, start_response):
    gevent.sleep(CALL_S)
    start_response("200 OK", [("Content-Length", str(len(BODY)))])
    return [BODY]


@pytest.mark.parametrize("name", ["admin_server", "peer_server"])
def test_a_shutdown_finishes_the_calls_of_auxiliary_servers(name):
    """Guard against calls that are cut with an unknown outcome."""
    settings = make_settings(
        lookup={"ttl_ms": 1}, shutdown={"grace_ms": 1, "limit_ms": 5_000}
    )
    node = Node(settings)
    node.start()
    server = getattr(node, name)
    server.application = slow
    with Caller(server.server_port) as caller:
        caller.sock.sendall(GET)
        gevent.sleep(0.05)
        close = gevent.spawn(node.close)
        answer = caller.answer()
        assert (answer.body, answer.complete) == (BODY, True)
    assert close.get()
