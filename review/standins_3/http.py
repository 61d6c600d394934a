"""Minimal HTTP/1.1 reading and writing for the stand-ins."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """Represent a request or a response."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    names: list[str] = field(default_factory=list)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ", 2)[1])


async def read_message(
    reader: asyncio.StreamReader, ends_with_connection: bool = False
) -> Message:
    """Return the next message; raise IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    message = Message(lines[0], headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif ends_with_connection:
        message.body = await reader.read()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if not size:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.transport.abort()
