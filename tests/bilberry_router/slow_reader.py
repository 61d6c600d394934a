"""A caller that reads slowly on a small buffer."""

import socket

import gevent
from gevent import socket as gevent_socket

RECEIVE_BYTES = 16_384


class SlowReader:
    """Read what a server sends, up to the end of the connection."""

    def __init__(self, port):
        self.sock = gevent_socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.sock.settimeout(20)
        self.sock.connect(("127.0.0.1", port))
        self.last = b""

    def read(self, pause_s=0.03):
        """Return how many bytes arrive, with a pause after each part."""
        received = 0
        while data := self.sock.recv(RECEIVE_BYTES):
            received += len(data)
            self.last = data
            gevent.sleep(pause_s)
        return received
