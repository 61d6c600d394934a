"""A stop finishes the answers of the auxiliary listeners too."""

import gevent
import pytest

from ...bilberry_platform.common import Deployment, connect


@pytest.mark.parametrize("listener_index", [1, 2, 3])
def test_a_stop_does_not_cut_the_answers_of_auxiliary_listeners(listener_index):
    """Guard against an answer cut as only the entry was drained."""
    with Deployment(upstreams=1, grace_ms=3_000) as deployment:
        node = deployment.node()
        listener = node.listeners[listener_index]
        handle = listener.handler.handle

        def handle_slowly(request):
            gevent.sleep(1.6)
            return handle(request)

        listener.handler = type(
            "SlowHandler",
            (),
            {"handle": staticmethod(handle_slowly), "may_overlap": lambda *_: True},
        )
        client = connect(listener)
        client.send("/none")
        gevent.sleep(0.05)
        stop = gevent.spawn(node.stop)
        answer = client.answer()
        assert (answer.status, answer.headers["connection"]) == (404, "close")
        assert stop.get()
