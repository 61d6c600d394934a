"""A node bounds bodies and connections by the limits in its settings."""

from bilberry_platform.__main__ import NodeProcess
from bilberry_platform.settings import load_settings

from .test_decoding import SETTINGS

LIMITS = "[limits]\nmemory_mb = {}\n"


def test_the_bound_follows_the_settings(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS + LIMITS.format(300))
    process = NodeProcess(path, load_settings(path).unwrap())
    node = process.node
    memory = node.entry_listener.request_memory
    before = memory.limit_bytes
    path.write_text(SETTINGS + LIMITS.format(552))
    process.reload()
    assert memory.limit_bytes - before == 252_000_000
    assert {listener.request_memory for listener in node.listeners} == {memory}


def test_the_connections_of_an_address_follow_the_settings(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    process = NodeProcess(path, load_settings(path).unwrap())
    limits = process.node.entry_listener.connection_limits
    assert limits.max_of_address == 0
    path.write_text(SETTINGS + "[limits]\nconnections_per_address = 70\n")
    process.reload()
    assert limits.max_of_address == 70
    listeners = process.node.listeners
    assert {listener.connection_limits for listener in listeners} == {limits}
