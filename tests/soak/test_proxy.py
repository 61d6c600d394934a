"""The soak's proxy does to a link what its mode says."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from soak.proxy import LinkMode, LinkProxy


def echo(sock, address):
    while data := sock.recv(1_000):
        sock.sendall(data)


@pytest.fixture
def link():
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    proxy = LinkProxy("127.0.0.1", f"127.0.0.1:{server.server_port}")
    proxy.start()
    yield proxy
    proxy.close()
    server.stop(timeout=0)


def connect(link):
    host, _, port = link.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def test_an_open_link_passes_both_ways(link):
    sock = connect(link)
    sock.sendall(b"one")
    assert sock.recv(10) == b"one"


@pytest.mark.parametrize("mode", [LinkMode.SILENT, LinkMode.ONE_WAY])
def test_what_a_silent_link_holds_back_arrives_later(link, mode):
    sock = connect(link)
    sock.sendall(b"one")
    assert sock.recv(10) == b"one"
    link.set_mode(mode)
    sock.sendall(b"two")
    sock.settimeout(0.1)
    with pytest.raises(TimeoutError):
        sock.recv(10)
    sock.settimeout(10)
    link.set_mode(LinkMode.OPEN)
    assert sock.recv(10) == b"two"


def test_a_refusing_link_resets_open_and_new_connections(link):
    sock = connect(link)
    sock.sendall(b"one")
    assert sock.recv(10) == b"one"
    link.set_mode(LinkMode.REFUSING)
    with pytest.raises(ConnectionError):
        sock.sendall(b"two")
        gevent.sleep(0)
        if not sock.recv(10):
            raise ConnectionError
    again = connect(link)
    with pytest.raises(ConnectionError):
        if not again.recv(10):
            raise ConnectionError
