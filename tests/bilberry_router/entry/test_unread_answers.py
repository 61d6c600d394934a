"""No end of a connection or of the process cuts an answer that is read."""

import socket
import time

import gevent
import pytest

from bilberry_resources.routing import CallerLimits
from bilberry_router.entry import caller as caller_module
from bilberry_router.entry.const import MAX_BUFFERED_BYTES, MAX_PIPELINED

from ..slow_reader import SlowReader
from .common import NAMES, Rig, config, eventually

BODY = b"f" * 540_000
# More than the system's buffers of both sides take.
LONG_BODY = b"f" * 12_000_000
CLOSE = ("Connection: close",)


def answer_with(body, request_id):
    lines = [
        "HTTP/1.1 200 OK",
        f"{NAMES.request_id}: {request_id}",
        f"{NAMES.digest}: d",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Reader(SlowReader):
    """Ask for large answers."""

    def __init__(self, rig, body=BODY, headers=(), count=1):
        super().__init__(rig.listener.server.server_port)
        self.body = body
        self.client = rig.client()
        self.client.sock.close()
        self.client.sock = self.sock
        for index in range(count):
            rig.upstreams[0].faults.script.append(answer_with(body, f"r{index}"))
            self.client.send(f"/read/{index}", request_id=f"r{index}", headers=headers)
            eventually(lambda: not rig.upstreams[0].faults.script)
        eventually(lambda: len(rig.listener.connections) == 1)
        self.connection = next(iter(rig.listener.connections))

    def wait_until_written(self):
        eventually(lambda: not self.connection.is_busy)
        assert self.connection.connection.delivery.sent_bytes >= len(self.body)

    def send_on(self, count=3, body=b""):
        for index in range(count):
            self.client.send("/read/on", request_id=f"on{index}", body=body)

    def assert_whole(self, received, count=1):
        # Beside the bodies there are heads only.
        assert len(self.body) * count < received < (len(self.body) + 500) * count


@pytest.mark.parametrize("send_on_s", [0, 0.2, 0.7])
@pytest.mark.parametrize(("count", "body"), [(1, b""), (5, b"x" * 50_000)])
def test_a_stop_does_not_cut_an_answer_that_is_read(send_on_s, count, body):
    """Guard against a reset of a connection that counts as idle."""
    with Rig(count=1) as rig:
        reader = Reader(rig)
        reader.wait_until_written()
        rig.listener.start_draining()
        gevent.spawn_later(send_on_s, reader.send_on, count, body)
        finish = gevent.spawn(rig.listener.finish, 10_000)
        reader.assert_whole(reader.read(0.04))
        reader.sock.close()
        assert finish.get()
        assert len(rig.ran) == 1


def test_a_stop_does_not_cut_several_answers_that_wait():
    with Rig(count=1) as rig:
        reader = Reader(rig, count=3)
        rig.listener.start_draining()
        gevent.spawn_later(0.2, reader.send_on)
        finish = gevent.spawn(rig.listener.finish, 10_000)
        reader.assert_whole(reader.read(), count=3)
        reader.sock.close()
        assert finish.get()


def test_a_stop_does_not_wait_longer_than_allowed_for_a_caller():
    with Rig(count=1) as rig:
        reader = Reader(rig)
        reader.wait_until_written()
        rig.listener.start_draining()
        assert not rig.listener.finish(300)


def test_the_end_of_the_process_does_not_cut_an_answer_that_is_read():
    """Guard against a reset for requests that the node leaves unread."""
    with Rig(count=1) as rig:
        reader = Reader(rig)
        reader.wait_until_written()
        reader.send_on(10 * MAX_PIPELINED, b"x" * 2_000)
        # They arrive; the node reads no more of them than it answers at once.
        time.sleep(0.05)
        rig.listener.close()
        reader.assert_whole(reader.read(0))


def test_a_request_that_arrived_before_the_stop_is_answered():
    with Rig(count=1) as rig:
        reader = Reader(rig)
        reader.wait_until_written()
        reader.send_on(count=1)
        rig.listener.start_draining()
        assert reader.read(0) > len(BODY) + 150
        assert [served.request_id for served in rig.ran] == ["r0", "on0"]


def test_a_connection_is_not_idle_while_its_answer_is_read():
    """Guard against an idle timeout that counts while an answer is read."""
    with Rig(count=1) as rig:
        rig.state.install(config(2, limits=CallerLimits(idle_timeout_ms=300)))
        reader = Reader(rig)
        gevent.spawn_later(0.8, reader.send_on)
        received = reader.read(0.04)
        assert received > len(BODY)
        eventually(lambda: not rig.listener.connections)


def test_idleness_counts_from_the_answer():
    """Guard against a request's own time that counts as idleness."""
    with Rig(count=1) as rig:
        rig.state.install(config(2, limits=CallerLimits(idle_timeout_ms=400)))
        release = rig.hold()
        client = rig.client()
        client.send("/read/x")
        gevent.sleep(0.3)
        release.set()
        assert client.answer().status == 200
        gevent.sleep(0.2)
        client.send("/read/y", request_id="r2")
        assert client.answer().status == 200


@pytest.mark.parametrize("send_on_s", [0, 0.3, 0.9])
def test_a_last_answer_is_read_whole_whatever_follows_it(send_on_s):
    """Guard against a linger shorter than the caller reads."""
    with Rig(count=1) as rig:
        reader = Reader(rig, headers=CLOSE)
        gevent.spawn_later(send_on_s, reader.send_on, 3, b"x" * 500_000)
        reader.assert_whole(reader.read(0.06))
        assert len(rig.ran) == 1


def test_what_a_callers_system_has_taken_is_not_cut_while_it_is_read():
    """Guard against a reset once all is acknowledged and not yet read."""
    with Rig(count=1) as rig:
        client = rig.client()
        rig.upstreams[0].faults.script.append(answer_with(BODY, "r1"))
        client.send("/read/x", headers=CLOSE)
        gevent.sleep(1.0)
        for index in range(3):
            client.send("/read/on", request_id=f"on{index}")
            gevent.sleep(0.1)
        assert client.answer().body == BODY
        assert client.answer() is None


def test_an_answer_is_written_for_as_long_as_it_is_read(monkeypatch):
    """Guard against a time limit of an answer that its caller reads."""
    monkeypatch.setattr(caller_module, "GONE_MS", 300)
    with Rig(count=1) as rig:
        reader = Reader(rig, LONG_BODY, headers=CLOSE)
        started_ms = rig.clock.now_ms()
        reader.assert_whole(reader.read(0.001))
        assert rig.clock.now_ms() - started_ms > 2 * caller_module.GONE_MS


def test_a_slow_answer_is_given_up_if_memory_is_short(monkeypatch):
    monkeypatch.setattr(caller_module, "GONE_MS", 300)
    with Rig(count=1) as rig:
        reader = Reader(rig, LONG_BODY)
        eventually(lambda: reader.connection.is_writing)
        rig.connections.answer_memory.held_bytes += MAX_BUFFERED_BYTES
        with pytest.raises(ConnectionResetError):
            reader.read(0.005)
        assert rig.listener.unread_closes.counts == {"memory": 1}


def test_a_caller_that_takes_nothing_is_given_up():
    with Rig(count=1) as rig:
        rig.state.install(config(2, limits=CallerLimits(idle_timeout_ms=400)))
        reader = Reader(rig, LONG_BODY)
        eventually(lambda: not rig.listener.connections)
        assert rig.listener.unread_closes.counts == {"idle": 1}
        assert rig.connections.answer_memory.held_bytes == 0
        reader.sock.close()


def test_a_caller_that_sends_no_more_reads_its_answer_whole():
    """Guard against an answer that is cut when its caller half-closes."""
    with Rig(count=1) as rig:
        reader = Reader(rig, LONG_BODY)
        eventually(lambda: reader.connection.is_writing)
        reader.sock.shutdown(socket.SHUT_WR)
        reader.assert_whole(reader.read(0))


def test_a_request_whose_body_arrives_behind_a_closing_answer_does_not_run():
    """Guard against a request that runs and can't be answered any more."""
    with Rig(count=1) as rig:
        client = rig.client()
        client.send("/read/x", request_id="r1", headers=("X-Close: 1",))
        eventually(lambda: rig.ran)
        assert client.answer().status == 200
        connection = next(iter(rig.listener.connections))
        client.sock.sendall(
            b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Id: r2\r\nContent-Length: 10\r\n\r\nhalf "
        )
        eventually(lambda: connection.is_reading)
        connection.shut_down_writing()
        client.sock.sendall(b"a body"[:5])
        assert client.answer() is None
        eventually(lambda: not rig.listener.connections)
        assert [served.request_id for served in rig.ran] == ["r1"]
