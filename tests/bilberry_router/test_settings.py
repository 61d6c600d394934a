"""Test that invalid settings are rejected with field and reason."""

import json

import pytest

from bilberry_core.outcome import Failure, Success
from bilberry_router.settings import decode_settings, load_settings

from .common import settings_data


def fields_of(result):
    assert isinstance(result, Failure)
    return {error.field for error in result.failure()}


def test_comments_are_allowed(tmp_path):
    path = tmp_path / "node.jsonc"
    path.write_text("// a node\n" + json.dumps(settings_data()))
    assert isinstance(load_settings(path), Success)


def test_every_error_is_listed_at_once():
    data = settings_data(
        colour="blue",
        limits={"max_connections": 0, "max_body_bytes": "big"},
        store={},
    )
    data["node"]["name"] = "Not A Name"
    assert fields_of(decode_settings(data)) == {
        "colour",
        "limits.max_connections",
        "limits.max_body_bytes",
        "store.url",
        "node.name",
    }


def test_duplicate_addresses_are_refused():
    listen = {
        "address": "127.0.0.1:80",
        "admin_address": "127.0.0.1:80",
        "peer_address": "127.0.0.1:81",
    }
    result = decode_settings(settings_data(listen=listen))
    assert fields_of(result) == {"listen.admin_address"}


def test_duplicate_tokens_are_refused():
    token = {"name": "a", "token": "0123456789abcdef"}
    result = decode_settings(settings_data(security={"tokens": [token, token]}))
    assert fields_of(result) == {"security.tokens[1].token"}


@pytest.mark.parametrize("text", ["", "{", '{"node": }', "[]"])
def test_a_file_that_is_no_object_is_refused(tmp_path, text):
    path = tmp_path / "node.jsonc"
    path.write_text(text)
    assert isinstance(load_settings(path), Failure)


def test_a_missing_file_is_refused(tmp_path):
    assert fields_of(load_settings(tmp_path / "none.jsonc")) == {"(file)"}
