"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

STREAM_LIMIT_BYTES = 33_554_432


@dataclass(slots=True)
class Message:
    """Represent a request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


@dataclass(slots=True)
class Answer:
    """Represent an answer to send."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the answer's bytes."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request's bytes; a body gets its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the next message without its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.strip().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message; its body has a length, or there is none."""
    message = await read_head(reader)
    length = int(message.headers.get("content-length", "0"))
    if length:
        message.body = await reader.readexactly(length)
    return message
