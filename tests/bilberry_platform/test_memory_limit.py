"""A node bounds the bodies of requests by the memory in its settings."""

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
