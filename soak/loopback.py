"""Give each run on a machine loopback addresses of its own."""

import os
import socket

NETWORKS = 250
CLAIM_PORT = 7_199


class LoopbackNetwork:
    """Claim the addresses 127.NUMBER.x.y until closed.

    The claim is a socket that listens in it: runs beside each other may be of
    processes whose ids look alike.
    """

    __slots__ = ("number", "sock")

    def __init__(self) -> None:
        first = os.getpid()
        for offset in range(NETWORKS):
            self.number = 1 + (first + offset) % NETWORKS
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self.sock.bind((f"127.{self.number}.0.1", CLAIM_PORT))
            except OSError:
                self.sock.close()
                continue
            self.sock.listen()
            return
        raise OSError("no loopback network is free")

    def close(self) -> None:
        """Give the addresses back."""
        self.sock.close()
