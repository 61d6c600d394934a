"""Parse network addresses."""

import re

MAX_PORT = 65_535
HOST_PATTERN = re.compile(r"[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `ip:port` or of an `http://` URL."""
    host_and_port = address.removeprefix("http://").rstrip("/")
    host, _, port = host_and_port.rpartition(":")
    assert host, f"no port in address {address!r}"
    return host.strip("[]"), int(port)


def check_address(address: str) -> None:
    """Raise ValueError unless it is `host:port` with a usable port."""
    host, _, port = address.rpartition(":")
    is_valid = HOST_PATTERN.fullmatch(host) and PORT_PATTERN.fullmatch(port)
    if not is_valid or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{address!r} is no address with a port")
