"""Test compressed calls between nodes."""

import msgspec
import pytest

from bilberry_core.clock import ManualClock
from bilberry_fleet.auth import Signer
from bilberry_fleet.const import HEADER_AUTH, PATH_PULL
from bilberry_fleet.messages import ConfigDelta, ConfigEntry, PullRequest, PullResponse
from bilberry_fleet.server import PeerServer
from bilberry_resources.compression import compress, decompress

KEY = "0123456789abcdef"
LIMIT_BYTES = 1_000_000


@pytest.fixture
def server():
    filler = [ConfigEntry(kind="region", name=f"r{i}", version=i) for i in range(100)]
    delta = ConfigDelta(since=0, version=100, entries=filler)
    answer = PullResponse(incarnation=1, config=delta)
    return PeerServer(Signer([KEY], ManualClock(), 1_000), lambda r: answer, None, None)


def call(server, body, **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    headers[HEADER_AUTH] = server.signer.sign("POST", PATH_PULL, body)
    return server.handle("POST", PATH_PULL, headers, body)


REQUEST = msgspec.json.encode(PullRequest(sender="vm-1", incarnation=1))


def test_an_answer_is_compressed_only_if_accepted(server):
    plain = call(server, REQUEST)
    packed = call(server, REQUEST, Accept_Encoding="deflate")
    assert plain.headers == []
    assert packed.headers == [("Content-Encoding", "deflate")]
    assert len(packed.body) < len(plain.body) / 3
    assert decompress(packed.body, LIMIT_BYTES).unwrap() == plain.body


def test_a_compressed_request_is_understood(server):
    assert call(server, compress(REQUEST), Content_Encoding="deflate").status == 200


def test_a_bad_compressed_request_is_refused(server):
    answer = call(server, b"no deflate", Content_Encoding="deflate")
    assert answer.status == 400
    assert b"not deflate" in answer.body


def test_the_signature_covers_the_body_as_sent(server):
    headers = {HEADER_AUTH: server.signer.sign("POST", PATH_PULL, REQUEST)}
    headers["Content-Encoding"] = "deflate"
    answer = server.handle("POST", PATH_PULL, headers, compress(REQUEST))
    assert answer.status == 401
