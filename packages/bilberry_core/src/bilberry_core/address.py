"""Parse network addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `ip:port` or of an `http://` URL."""
    host_and_port = address.removeprefix("http://").rstrip("/")
    host, _, port = host_and_port.rpartition(":")
    assert host, f"no port in address {address!r}"
    return host.strip("[]"), int(port)
