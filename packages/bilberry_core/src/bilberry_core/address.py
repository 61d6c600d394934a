"""Split addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `ip:port` or of a plain HTTP URL."""
    plain = address.removeprefix("http://").rstrip("/")
    host, _, port = plain.rpartition(":")
    assert host, f"no port in address {address!r}"
    return host.strip("[]"), int(port)
