"""Test the verification and errors of calls between nodes."""

import msgspec
import pytest

from bilberry_core.clock import ManualClock
from bilberry_fleet.auth import Signer
from bilberry_fleet.const import HEADER_AUTH, PATH_PULL, PATH_STATUS
from bilberry_fleet.messages import PullRequest, PullResponse, RolloutStatus
from bilberry_fleet.server import PeerServer

BODY = msgspec.json.encode(PullRequest(sender="vm-1", incarnation=1))


def signer(keys, offset_ms=1_700_000_000_000):
    return Signer(keys, ManualClock(offset_ms=offset_ms), 900_000)


def server(keys):
    return PeerServer(
        signer(keys),
        lambda request: PullResponse(incarnation=2),
        lambda batch: None,
        lambda version: RolloutStatus(version=version, sites_applied=1, sites_total=2),
    )


def call(found, header, path=PATH_PULL, method="POST", body=BODY):
    headers = {HEADER_AUTH.upper(): header} if header is not None else {}
    return found.handle(method, path, headers, body)


def test_a_signed_call_passes_and_an_unsigned_one_does_not():
    found = server(["k1"])
    header = signer(["k1"]).sign("POST", PATH_PULL, BODY)
    assert call(found, header).status == 200
    answer = call(found, None)
    assert answer.status == 401
    assert b"missing" in answer.body
    assert found.refused_calls == 1


def test_both_keys_are_valid_during_a_rotation():
    old, new = signer(["old"]), signer(["new", "old"])
    for node_signer in (old, new):
        header = node_signer.sign("POST", PATH_PULL, BODY)
        assert call(server(["new", "old"]), header).status == 200
    assert call(server(["new"]), old.sign("POST", PATH_PULL, BODY)).status == 401


@pytest.mark.parametrize("header", ["", "x", "12:", ":ab", "12:é", "1700000000000:00"])
def test_malformed_signatures_are_refused(header):
    assert call(server(["k1"]), header).status == 401


def test_another_body_path_or_time_is_refused():
    found = server(["k1"])
    header = signer(["k1"]).sign("POST", PATH_PULL, BODY)
    assert call(found, header, body=BODY + b" ").status == 401
    assert call(found, header, path=PATH_STATUS).status == 401
    early = signer(["k1"], 1_700_000_000_000 - 900_001)
    answer = call(found, early.sign("POST", PATH_PULL, BODY))
    assert answer.status == 401
    assert b"wall clock" in answer.body


def test_bad_calls_get_a_clear_error():
    found = server([])
    assert call(found, None, body=b"{").status == 400
    assert b"incarnation" in call(found, None, body=b'{"sender":"a"}').body
    assert call(found, None, path="/internal/v1/other").status == 404
    bad = call(found, None, f"{PATH_STATUS}?version=x", "GET")
    assert (bad.status, b"version" in bad.body) == (400, True)
    good = call(found, None, f"{PATH_STATUS}?version=7", "GET")
    assert msgspec.json.decode(good.body, type=RolloutStatus).version == 7
