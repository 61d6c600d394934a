"""A listener that closes cuts no request that has arrived."""

import pytest

from .common import Client, Rig, eventually


def test_a_request_on_a_connection_not_yet_accepted_is_answered():
    with Rig(count=1) as rig:
        clients = [rig.client() for _ in range(30)]
        for index, client in enumerate(clients):
            client.send("/read/x", request_id=f"r{index}")
        rig.listener.start_draining()
        assert rig.listener.finish(5_000)
        rig.listener.close()
        assert {client.answer().status for client in clients} == {200}


def test_a_first_request_that_arrives_at_the_end_is_answered():
    with Rig(count=1) as rig:
        client = rig.client()
        eventually(lambda: rig.listener.connections)
        rig.listener.start_draining()
        client.send("/read/x")
        assert rig.listener.finish(5_000)
        rig.listener.close()
        answer = client.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")


def test_nothing_is_accepted_once_it_has_finished():
    with Rig(count=1) as rig:
        address = rig.listener.address
        assert rig.listener.finish(1_000)
        with pytest.raises(ConnectionRefusedError):
            Client(address)
        rig.listener.close()


def test_it_does_not_wait_longer_than_allowed():
    with Rig(count=1) as rig:
        release = rig.hold()
        client = rig.client()
        client.send("/read/x")
        eventually(lambda: rig.ran)
        assert not rig.listener.finish(100)
        release.set()
